"""All settings of the daemon with their defaults, and a typed view."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from bulrushdeal import settings

TABLE = (
    settings.Setting("vm", "text", None, "This VM's name."),
    settings.Setting(
        "failure_domain", "text", None, "The failure domain it stands in."
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
        "Where other entry VMs connect; one process holds it exclusively.",
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
        "Folder for bulk data; empty if this VM keeps none.",
    ),
    settings.Setting(
        "bulk_address",
        "address",
        "",
        "Where callers up- and download files; the callers' address if empty.",
    ),
    settings.Setting(
        "statsd_address", "address", "", "Where metrics go; empty for nowhere."
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
        "How old the platform's list of VMs may be; a VM missing from it"
        " for so long is taken for gone.",
        low=0,
        high=3600,
    ),
    settings.Setting(
        "config_max_age_s",
        "number",
        0.0,
        "A VM cut off from the platform and from all peers that hear of it"
        " refuses all keys after so long; 0 for never.",
        low=0,
        high=1_000_000,
    ),
    settings.Setting(
        "peer_seeds",
        "addresses",
        "",
        "Peers' addresses to ask for the list of VMs when the platform does"
        " not answer at the start.",
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
        "Connections of online callers served at once.",
        low=2,
        high=5000,
    ),
)


class Settings(NamedTuple):
    """The settings of one daemon, a field for each row of the table."""

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


def read(flags: Mapping[str, str], environment: Mapping[str, str]) -> Settings:
    """Returns the checked settings.

    Raises:
        settings.SettingError: Names the setting, the value and what is
            allowed.
    """
    values: dict[str, Any] = settings.read(TABLE, flags, environment)
    return Settings(**values)
