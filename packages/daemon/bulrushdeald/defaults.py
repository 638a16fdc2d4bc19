"""The daemon's settings with their defaults, and a typed view of them."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from bulrushdeal import settings

TABLE = (
    settings.Setting("vm", "text", None, "This VM's name."),
    settings.Setting(
        "failure_domain", "text", None, "The failure domain that this VM is in."
    ),
    settings.Setting(
        "callers_address", "address", None, "Where callers connect."
    ),
    settings.Setting(
        "operators_address", "address", None, "Where operators connect."
    ),
    settings.Setting(
        "peers_address",
        "address",
        None,
        "Where other entry VMs connect; only one process at a time can hold"
        " the address.",
    ),
    settings.Setting(
        "platform_address",
        "address",
        None,
        "The platform's key-value service and list of VMs.",
    ),
    settings.Setting(
        "operator_token", "text", None, "The credential that operators present."
    ),
    settings.Setting(
        "data_folder",
        "text",
        "",
        "Folder for bulk data; empty if this VM stores none.",
    ),
    settings.Setting(
        "bulk_address",
        "address",
        "",
        "Where callers upload and download files; the callers' address if"
        " empty.",
    ),
    settings.Setting(
        "statsd_address",
        "address",
        "",
        "The statsd server that metrics are sent to; empty to send none.",
    ),
    settings.Setting(
        "log_level",
        "choice",
        "info",
        "The least severe level logged.",
        choices=("debug", "info", "warning", "error"),
    ),
    settings.Setting(
        "drain_s",
        "number",
        30.0,
        "How long a graceful shutdown waits for open requests.",
        low=0,
        high=3600,
    ),
    settings.Setting(
        "platform_timeout_s",
        "number",
        2.0,
        "How long one call to the platform may take.",
        low=0.05,
        high=60,
    ),
    settings.Setting(
        "vm_list_poll_s",
        "number",
        2.0,
        "How often the platform's list of VMs is read.",
        low=0.1,
        high=60,
    ),
    settings.Setting(
        "vm_list_lag_s",
        "number",
        10.0,
        "How outdated the platform's list of VMs may be; a VM that is missing"
        " from it for this long counts as gone.",
        low=0,
        high=3600,
    ),
    settings.Setting(
        "config_max_age_s",
        "number",
        0.0,
        "The age of its configuration above which this VM refuses all API keys;"
        " the age grows while the VM is cut off from the platform and from all"
        " peers that receive changes; 0 for no limit.",
        low=0,
        high=1_000_000,
    ),
    settings.Setting(
        "peer_seeds",
        "addresses",
        "",
        "Addresses of peers that are asked for the list of VMs if the platform"
        " does not answer at startup.",
    ),
    settings.Setting(
        "max_body_bytes",
        "integer",
        4_000_000,
        "The largest body of an online request to an engine.",
        low=1000,
        high=100_000_000,
    ),
    settings.Setting(
        "online_threads",
        "integer",
        200,
        "The number of online callers' connections that are served at once.",
        low=2,
        high=5000,
    ),
    settings.Setting(
        "callers_memory_mb",
        "integer",
        32,
        "The memory that may be held for all callers' requests and answers.",
        low=1,
        high=100_000,
    ),
    settings.Setting(
        "callers_connections",
        "integer",
        2000,
        "The number of callers' connections that may be open; at most half of"
        " the descriptors that the process may have.",
        low=16,
        high=1_000_000,
    ),
    settings.Setting(
        "batch_reserve_fraction",
        "number",
        0.0,
        "Fraction of an upstream's slots that batch work leaves free; meant for"
        " engines that queue requests beyond their slots.",
        low=0,
        high=1,
    ),
    settings.Setting(
        "batch_yields",
        "choice",
        "yes",
        "Whether batch items yield to online requests; `no` is a baseline for"
        " measurements.",
        choices=("yes", "no"),
    ),
    settings.Setting(
        "upstream_policy",
        "choice",
        "affinity",
        "How an upstream is chosen among those with room for a request.",
        choices=("affinity", "least_load", "random"),
    ),
    settings.Setting(
        "queue_discipline",
        "choice",
        "fair",
        "The order in which waiting requests of several customers are served;"
        " `fifo` is a baseline for measurements.",
        choices=("fair", "fifo"),
    ),
    settings.Setting(
        "unready_s",
        "number",
        1.0,
        "How long a stopping VM still accepts requests while its health check"
        " fails, so that the load balancer notices.",
        low=0,
        high=600,
    ),
    settings.Setting(
        "online_deadline_s",
        "number",
        30.0,
        "How long an online request may wait for an upstream.",
        low=0.1,
        high=3600,
    ),
    settings.Setting(
        "upstream_connect_timeout_s",
        "number",
        1.0,
        "How long connecting to an upstream may take.",
        low=0.01,
        high=60,
    ),
    settings.Setting(
        "upstream_silence_s",
        "number",
        60.0,
        "How long an upstream may send nothing before it counts as failed.",
        low=0.05,
        high=3600,
    ),
    settings.Setting(
        "intent_age_s",
        "number",
        86400.0,
        "How long an idempotency key is remembered.",
        low=60,
        high=2_600_000,
    ),
    settings.Setting(
        "batch_threads",
        "integer",
        64,
        "The number of batch items that this VM runs at once; 0 runs none.",
        low=0,
        high=2000,
    ),
    settings.Setting(
        "batch_chunks",
        "integer",
        4,
        "The largest number of chunks with unfinished batch items that this VM"
        " holds at once.",
        low=1,
        high=100,
    ),
    settings.Setting(
        "batch_item_timeout_s",
        "number",
        600.0,
        "How long an upstream that runs a batch item may send nothing.",
        low=1,
        high=86400,
    ),
    settings.Setting(
        "batch_retention_s",
        "number",
        604800.0,
        "How long files and results of batch jobs are kept.",
        low=60,
        high=31536000,
    ),
    settings.Setting(
        "usage_flush_s",
        "number",
        5.0,
        "The interval at which usage is sent to be stored; a VM that is lost"
        " loses the usage of about one interval.",
        low=0.1,
        high=300,
    ),
    settings.Setting(
        "usage_bucket_s",
        "integer",
        3600,
        "Length of the time buckets in which usage is counted; should divide an"
        " hour evenly.",
        low=60,
        high=3600,
    ),
    settings.Setting(
        "order_timeout_s",
        "number",
        300.0,
        "How long an engine may take to execute an order; after an order of"
        " unknown outcome, an engine that does not check fencing numbers is"
        " sent no order for three times as long.",
        low=0.1,
        high=7200,
    ),
    settings.Setting(
        "order_settle_s",
        "number",
        12.0,
        "How long an engine's changed row takes to be in force on all VMs; an"
        " order that interrupts a served model waits this long.",
        low=0,
        high=600,
    ),
    settings.Setting(
        "order_drain_s",
        "number",
        120.0,
        "How long requests may keep running before their model is unloaded.",
        low=0,
        high=86400,
    ),
    settings.Setting(
        "order_deadline_s",
        "number",
        3600.0,
        "How long after its acceptance an order may still be sent; after that"
        " it fails.",
        low=1,
        high=604800,
    ),
    settings.Setting(
        "order_threads",
        "integer",
        8,
        "The number of engine orders that this VM executes at once.",
        low=1,
        high=500,
    ),
    settings.Setting(
        "weight_fetches",
        "integer",
        8,
        "The number of engines that may fetch weights at once, over all VMs;"
        " set the same value on all VMs.",
        low=1,
        high=10_000,
    ),
)


class Settings(NamedTuple):
    """The values of one daemon's settings, one field for each in `TABLE`."""

    vm: str
    failure_domain: str
    callers_address: str
    operators_address: str
    peers_address: str
    platform_address: str
    operator_token: str
    data_folder: str
    bulk_address: str
    statsd_address: str
    log_level: str
    drain_s: float
    platform_timeout_s: float
    vm_list_poll_s: float
    vm_list_lag_s: float
    config_max_age_s: float
    peer_seeds: str
    max_body_bytes: int
    online_threads: int
    callers_memory_mb: int
    callers_connections: int
    batch_reserve_fraction: float
    batch_yields: str
    upstream_policy: str
    queue_discipline: str
    unready_s: float
    online_deadline_s: float
    upstream_connect_timeout_s: float
    upstream_silence_s: float
    intent_age_s: float
    batch_threads: int
    batch_chunks: int
    batch_item_timeout_s: float
    batch_retention_s: float
    usage_flush_s: float
    usage_bucket_s: int
    order_timeout_s: float
    order_settle_s: float
    order_drain_s: float
    order_deadline_s: float
    order_threads: int
    weight_fetches: int


def read(flags: Mapping[str, str], environment: Mapping[str, str]) -> Settings:
    """Returns the validated settings.

    Raises:
        settings.SettingError: A setting is missing or invalid; the message
            names the setting, its value and the allowed values.
    """
    values: dict[str, Any] = settings.read(TABLE, flags, environment)
    return Settings(**values)
