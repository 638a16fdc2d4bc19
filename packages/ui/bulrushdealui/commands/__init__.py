"""The commands, in one module for each type of object they act on."""
