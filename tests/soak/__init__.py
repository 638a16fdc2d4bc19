"""A randomized soak test that injects faults into real gateway processes.

`python -m soak` starts gateways as processes on loopback, connects them through
proxies and injects a series of faults drawn from a seed. Afterwards it compares
the responses that callers received with the requests that upstreams executed.
"""
