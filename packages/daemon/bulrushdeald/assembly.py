"""Creates a daemon's services and registers them in the kernel."""

from bulrushdeal import kernel as kernel_lib
from bulrushdeald import callers
from bulrushdeald import config
from bulrushdeald import coordinator
from bulrushdeald import defaults
from bulrushdeald import files
from bulrushdeald import intents
from bulrushdeald import jobs
from bulrushdeald import keyvalue
from bulrushdeald import limits
from bulrushdeald import membership
from bulrushdeald import modelorders
from bulrushdeald import operators
from bulrushdeald import peers
from bulrushdeald import repair
from bulrushdeald import replicas
from bulrushdeald import router
from bulrushdeald import services
from bulrushdeald import store
from bulrushdeald import sweeper
from bulrushdeald import upstreams
from bulrushdeald import usage
from bulrushdeald import vmlist
from bulrushdeald import worker

_CALLERS_LISTENER = "callers_listener"


def assemble(settings: defaults.Settings) -> kernel_lib.Kernel:
    """Returns a kernel with the services that the settings enable.

    Services are registered in the order of their dependencies. The callers'
    server comes before the services that add routes to it. Its listener comes
    last, so that it opens after all other services have started and drains
    before any of them stops.
    """
    kernel = kernel_lib.Kernel()
    add = kernel.register
    add(services.KEYVALUE, keyvalue.HttpKeyValue(kernel, settings))
    add(services.MEMBERSHIP, membership.PlatformMembership(kernel, settings))
    add(services.PEERS, peers.WebsocketPeers(kernel, settings))
    add(vmlist.NAME, vmlist.VmListFeed(kernel, settings))
    add(services.CONFIG, config.ConfigService(kernel, settings))
    add(services.USAGE, usage.UsageService(kernel, settings))
    add(services.LIMITS, limits.EscrowLimits(kernel, settings))
    add(services.ROUTER, router.UpstreamRouter(kernel, settings))
    add(services.UPSTREAMS, upstreams.HttpUpstreams(kernel, settings))
    add(services.INTENTS, intents.Intents(kernel, settings))
    add(sweeper.SWEEPER, sweeper.Sweeper(kernel, settings))
    add(services.CALLERS, callers.CallersServer(kernel, settings))
    if settings.data_folder:
        add(services.STORE, store.DiskStore(kernel, settings))
    add(replicas.NAME, replicas.Replicas(kernel, settings))
    if settings.data_folder:
        add(repair.NAME, repair.Repair(kernel, settings))
    add(files.NAME, files.Files(kernel, settings))
    add(services.JOBS, jobs.Jobs(kernel, settings))
    add(coordinator.NAME, coordinator.Coordinator(kernel, settings))
    add(worker.NAME, worker.Worker(kernel, settings))
    add(modelorders.NAME, modelorders.ModelOrders(kernel, settings))
    add(services.OPERATORS, operators.OperatorsServer(kernel, settings))
    add(_CALLERS_LISTENER, callers.Listener(kernel, settings))
    return kernel
