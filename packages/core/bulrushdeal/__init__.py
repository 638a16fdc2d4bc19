"""Kernel, settings, codec and shared types of bulrushdeal."""
