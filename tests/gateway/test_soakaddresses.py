"""Tests of the loopback addresses of soak runs."""

from soak import addresses


def test_runs_at_the_same_time_have_no_address_in_common() -> None:
    """Guards against two soaks whose VMs take each other's addresses."""
    networks = [addresses.Network() for _ in range(20)]
    try:
        assert len({row.host(1) for row in networks}) == len(networks)
        assert len({row.shared_host for row in networks}) == len(networks)
    finally:
        for row in networks:
            row.close()
