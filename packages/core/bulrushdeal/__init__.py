"""The kernel, settings, codec and shared types of bulrushdeal."""
