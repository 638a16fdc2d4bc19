"""Assembles the gateway's services and runs them until a graceful stop."""

import signal
import socket
import sys
import threading
import time
from typing import Any

from bulrushdeal import errors
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import memory
from bulrushdeal import signals
from bulrushdeal import threads
from bulrushdeald import peers
from bulrushdeald import services
from bulrushdeald import upstreams
from gateway import configuration
from gateway import crashrecords
from gateway import dialect as dialect_lib
from gateway import evacuations
from gateway import forwarding
from gateway import front
from gateway import jobdirectory
from gateway import joblisting
from gateway import jobs
from gateway import jobstore
from gateway import members
from gateway import metrics
from gateway import names
from gateway import pings
from gateway import placement
from gateway import rates
from gateway import rateshards
from gateway import records
from gateway import runner
from gateway import storepath
from gateway import storereaders
from gateway import streamorigins
from gateway import upstreamlist
from gateway import vmretirement

_events = eventlog.Events("process")
# The part of the grace time that is left for the process to exit after its
# services have stopped.
_EXIT_MARGIN_S = 0.6
# A connection to a peer takes a thread at both ends, so unused ones are closed.
# Most connections that are in use carry a call each second.
_PEER_IDLE_S = 10.0
# How often the counts of store calls are logged.
_COUNTS_INTERVAL_S = 10.0


def assemble(
    settings: records.Settings,
    dialect: dialect_lib.Dialect,
    store: dialect_lib.Store,
    listener: socket.socket | None = None,
) -> kernel_lib.Kernel:
    """Returns a kernel with all services, registered in dependency order."""
    kernel = kernel_lib.Kernel()
    add = kernel.register
    kernel.register_object(names.DIALECT, dialect)
    store_path = storepath.FailoverStore(kernel, store, settings.regions)
    kernel.register_object(names.STORE, store_path)
    add(names.EVACUATIONS, evacuations.Evacuations())
    feed = configuration.Feed(kernel, awaits_others=settings.is_first_start)
    add(names.CONFIGURATION, feed)
    add(names.UPSTREAM_LIST, upstreamlist.UpstreamList(kernel, settings))
    add(names.METRICS, metrics.Metrics(kernel, settings))
    add(services.MEMBERSHIP, members.Members(kernel, settings))
    add(services.PEERS, peers.WebsocketPeers(kernel, settings, _PEER_IDLE_S))
    add("store path", store_path)
    add(names.CRASH_RECORDS, crashrecords.CrashRecords(kernel, settings))
    add(names.PINGS, pings.Pings(kernel))
    add(
        names.JOB_STORE,
        jobstore.JobStore(kernel, settings.callers_memory_bytes),
    )
    add(names.JOB_LISTING, joblisting.JobListing(kernel))
    add(names.JOB_DIRECTORY, jobdirectory.JobDirectory(kernel))
    add("reading", storereaders.Reading(kernel, settings))
    add(names.STREAM_ORIGINS, streamorigins.StreamOrigins(kernel))
    add(names.RATE_SHARDS, rateshards.RateShards(kernel, settings))
    add(names.RATES, rates.RateLimiter(kernel, settings))
    add(names.PLACEMENT, placement.Placement(kernel, settings))
    add(services.UPSTREAMS, upstreams.HttpUpstreams(kernel, settings))
    add(names.JOBS, jobs.Jobs(kernel, settings))
    add("retirements", vmretirement.Retirements(kernel))
    add(names.FORWARDER, forwarding.Forwarder(kernel))
    add(names.FRONT, front.Front(kernel, settings, listener))
    # Registered last and therefore stopped first, so that other VMs continue
    # its jobs at once.
    add("runner", runner.Runner(kernel, settings))
    return kernel


def run(
    settings: records.Settings,
    dialect: dialect_lib.Dialect,
    store: dialect_lib.Store,
    listener: socket.socket | None = None,
) -> int:
    """Runs the gateway until SIGTERM or SIGINT; returns the exit status.

    Args:
        settings: The settings of the process.
        dialect: The platform's encodings.
        store: The platform's store.
        listener: The socket that callers connect to, if it listens already.
    """
    logs.configure("warning")
    memory.limit_allocator()
    threads.report_others()
    writer = eventlog.configure(settings.vm, sys.stdout)
    stopping = threading.Event()
    # When each stop signal came, on the monotonic clock.
    signals_s: list[float] = []

    def handle_stop(number: int, frame: Any) -> None:
        del number, frame
        signals_s.append(time.monotonic())
        stopping.set()

    def handle_reload(number: int, frame: Any) -> None:
        del number, frame
        _events.info("reload", why="settings are read only at start")

    waiter = signals.SignalWaiter()
    signal.signal(signal.SIGTERM, handle_stop)
    signal.signal(signal.SIGINT, handle_stop)
    signal.signal(signal.SIGHUP, handle_reload)
    kernel = assemble(settings, dialect, store, listener)
    try:
        kernel.start()
    except (OSError, errors.UserError) as error:
        sys.stderr.write(f"Cannot start: {error}\n")
        return 1
    memory.freeze_startup_objects()
    _events.info("started", failure_domain=settings.failure_domain)
    while not stopping.is_set():
        waiter.wait(_COUNTS_INTERVAL_S)
        calls = [tuple(row) for row in store.counts()]
        _events.info("counts", store_calls=calls)
    _events.info("stopping", grace_s=settings.grace_s)
    # The platform counts the grace period from its signal.
    passed_s = time.monotonic() - signals_s[0]
    kernel.stop(max(settings.grace_s - _EXIT_MARGIN_S - passed_s, 0.5))
    _events.info("stopped")
    writer.stop()
    return 0
