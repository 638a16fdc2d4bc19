"""The serving daemon that runs on every entry VM."""
