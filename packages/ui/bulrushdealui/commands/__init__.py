"""The commands, one module for each kind of thing they act on."""
