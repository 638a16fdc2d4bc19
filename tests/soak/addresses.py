"""Loopback addresses that one run has for itself."""

import random
import socket

# Tests of one process use 127.64.* and above; see `gatewayscene.free_address`.
_FIRST_OCTETS = range(10, 64)
_SECOND_OCTETS = range(250)
_RESERVED_HOST = 250
_RESERVED_PORT = 7660
_SHARED_HOST = 251


class Network:
    """The addresses `127.A.B.*`, which no other run uses until it is closed.

    They are reserved by a bound port, which the system releases when the
    process ends, however it does.

    Attributes:
        shared_host: The address for all that needs none of its own. Ports that
            the system assigns on 127.0.0.1 are in use there again at once.
    """

    def __init__(self) -> None:
        # Not from the seed: the same seed may be played twice at a time.
        rng = random.SystemRandom()
        while True:
            first, second = (
                rng.choice(_FIRST_OCTETS),
                rng.choice(_SECOND_OCTETS),
            )
            self._prefix = f"127.{first}.{second}"
            self._reservation = socket.socket()
            try:
                self._reservation.bind(
                    (self.host(_RESERVED_HOST), _RESERVED_PORT)
                )
                break
            except OSError:
                self._reservation.close()
        self.shared_host = self.host(_SHARED_HOST)

    def host(self, number: int) -> str:
        """Returns one of the addresses, from 1 to 249."""
        return f"{self._prefix}.{number}"

    def close(self) -> None:
        """Gives the addresses back."""
        self._reservation.close()
