"""Serves routed HTTP and batch jobs behind a platform's own protocol.

Nothing here knows how a platform spells a header, a field or a call: an
adapter decodes them into the types of `records` and `dialect`.
"""
