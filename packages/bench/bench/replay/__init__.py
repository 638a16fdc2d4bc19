"""Replays loads against the gateway's decision code in virtual time."""
