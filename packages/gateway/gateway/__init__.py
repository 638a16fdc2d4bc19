"""Serves routed HTTP and batch jobs behind a platform's own protocol.

This package does not depend on a platform's headers, fields or calls: an
adapter translates them to the types of `records` and `dialect`.
"""
