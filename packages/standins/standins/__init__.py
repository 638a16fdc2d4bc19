"""Stand-ins for the platform and the upstreams, and the demo."""
