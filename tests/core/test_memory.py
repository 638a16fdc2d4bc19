"""Tests of the garbage collector settings."""

import gc
import weakref

from bulrushdeal import memory


class Node:
    """An object that refers to itself, so only the collector frees it."""

    def __init__(self) -> None:
        self.own = self


def test_collector_skips_objects_that_exist_at_startup() -> None:
    # When batch work started, its many new objects made the collector traverse
    # all objects of imported modules. All streams of the VM paused for 35 to
    # 52 ms, once on each VM.
    old = Node()
    try:
        memory.freeze_startup_objects()
        assert gc.get_freeze_count() > 0
        assert not any(one is old for one in gc.get_objects())
        new_node = weakref.ref(Node())
        gc.collect()
        assert new_node() is None
    finally:
        gc.unfreeze()
