"""A randomized soak of real processes with faults from outside them.

`python -m soak` starts gateways as processes on loopback, puts a proxy into
each link, plays a series of faults drawn from a seed, and checks all the while
what callers got against what upstreams ran.
"""
