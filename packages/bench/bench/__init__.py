"""Load generator and experiments."""
