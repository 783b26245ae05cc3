"""Settings of nodes and proxies, with their defaults, limits and meaning.

The first line of each section's doc comment and the help texts are printed on the
reference page of the settings, which a test compares: see ``reference``.
"""

import dataclasses

MIB = 1024 * 1024
PORT_MAX = 65535


def option(default=dataclasses.MISSING, *, help, low=None, high=None, choices=None):
    """Return the dataclass field of an INI option, required if it has no default.

    ``low`` and ``high`` bound its value, both included; ``choices`` lists its values.
    """
    meta = {"help": help, "low": low, "high": high, "choices": choices}
    if isinstance(default, (list, dict)):
        return dataclasses.field(default_factory=type(default), metadata=meta)
    return dataclasses.field(default=default, metadata=meta)


def port(help):
    """Return the dataclass field of a required option that takes a TCP port."""
    return option(help=help, low=1, high=PORT_MAX)


@dataclasses.dataclass(slots=True, kw_only=True)
class Node:
    """Name, location and addresses of the node, and its shutdown."""

    id: str = option(help="name of the node, unique in the mesh")
    domain: str = option(help="failure domain of the host")
    region: str = option("default", help="region of the failure domain")
    address: str = option("127.0.0.1", help="IP address at which other nodes reach it")
    call_port: int = port("port for callers")
    peer_port: int = port("port for calls forwarded by other nodes")
    control_port: int = port("port for administration, metrics and control traffic")
    peers: list = option(
        [],
        help="control addresses to contact at start; needed while the platform is down",
    )
    drain_seconds: float = option(
        30.0, help="longest wait for calls in flight at shutdown", low=0.0, high=3600.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Platform:
    """Access to the platform's key-value store."""

    backend: str = option("http", help="store back end", choices=("http", "memory"))
    address: str = option("127.0.0.1:7400", help="IP:port of the store")
    timeout_seconds: float = option(
        2.0,
        help="timeout of a request to the store, or to a node for its sheet",
        low=0.01,
        high=60.0,
    )
    watch_seconds: float = option(
        10.0, help="longest wait of one watch", low=0.1, high=300.0
    )
    lease_seconds: float = option(
        4.0, help="duration of a lease that is not renewed", low=0.5, high=60.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Membership:
    """Exchanges between nodes, and detection of failed nodes and targets."""

    interval_seconds: float = option(
        1.0, help="usual time between two exchanges of a node", low=0.05, high=60.0
    )
    timeout_seconds: float = option(
        0.5, help="timeout of one exchange or probe", low=0.01, high=10.0
    )
    suspect_seconds: float = option(
        3.0,
        help="time until a suspected node that does not refute is declared dead",
        low=0.1,
        high=120.0,
    )
    forget_seconds: float = option(
        600.0,
        help="time until a node that is dead or has left is removed",
        low=1.0,
        high=86400.0,
    )
    heartbeat_seconds: float = option(
        3.0,
        help="time without a heartbeat until a target is removed",
        low=0.2,
        high=60.0,
    )
    updates_per_exchange: int = option(
        12, help="entries of nodes in one exchange message", low=1, high=1000
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Distribution:
    """Distribution of sheet changes among the nodes."""

    fanout: int = option(
        4, help="branches at each node of a relay tree", low=1, high=64
    )
    push_timeout_seconds: float = option(
        0.6, help="timeout of one push to another node", low=0.01, high=10.0
    )
    poll_seconds: float = option(
        2.0,
        help="mean time between two reads of the sheet's head by a feeder",
        low=0.1,
        high=60.0,
    )
    snapshots_at_once: int = option(
        4, help="requests for the sheet served at the same time", low=1, high=100
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Calls:
    """Limits on calls, their queues and connections."""

    max_body_bytes: int = option(
        32 * MIB,
        help="largest body of a request or response",
        low=1024,
        high=1024 * MIB,
    )
    body_memory_bytes: int = option(
        64 * MIB, help="memory for all bodies in flight", low=1024, high=1024 * MIB
    )
    default_deadline_ms: int = option(
        5000, help="deadline of a call that sets none", low=1, high=3_600_000
    )
    retry_share: float = option(
        0.1, help="retries allowed, as a share of the calls", low=0.0, high=1.0
    )
    queue_per_slot: int = option(
        2, help="calls that may wait for each slot", low=0, high=100
    )
    queue_order: str = option(
        "shares", help="order of waiting calls", choices=("shares", "fifo")
    )
    idle_seconds: float = option(
        10.0, help="time until an unused connection is closed", low=0.1, high=300.0
    )
    max_connections: int = option(
        512, help="connections accepted from callers", low=1, high=65536
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Moves:
    """Decisions about moves."""

    policy: str = option(
        "cautious",
        help="policy that decides about moves",
        choices=("cautious", "punctual"),
    )
    step_seconds: float = option(
        1.0, help="time between two decisions", low=0.05, high=60.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Settings:
    """All sections of a node's settings; consumers receive all of them."""

    node: Node
    platform: Platform
    membership: Membership
    distribution: Distribution
    calls: Calls
    moves: Moves


def _seconds(default, help, high=3600.0):
    return option(default, help=help, low=0.0, high=high)


@dataclasses.dataclass(slots=True, kw_only=True)
class Proxy:
    """Name, location and addresses of the proxy."""

    id: str = option(help="name of the host")
    domain: str = option(help="failure domain of the host")
    region: str = option("default", help="region of the failure domain")
    address: str = option(help="IP address at which other proxies reach it")
    callers: str = option(help="IP:port for callers and the local target")
    ready: str = option(help="IP:port for readiness checks")
    heartbeats: str = option(help="IP:port for the local target's heartbeats")
    peer_port: int = port("port for calls forwarded by other proxies")
    metrics_port: int = port("port for metrics")
    link_mbps: float = option(
        1000.0, help="bandwidth of the host's link in Mbit/s", low=0.001, high=1e6
    )
    first_start: str = option(
        "no",
        help="whether all proxies start for the first time",
        choices=("yes", "no"),
    )
    memory_mb: float = option(
        0.0, help="memory that the process may use, 0 if unknown", low=0, high=1e7
    )
    descriptors: int = option(
        0, help="file descriptors that it may open, 0 if unknown", low=0, high=10**7
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class LocalTarget:
    """The target on the same host."""

    address: str = option(help="IP:port of the target")
    service: str = option(help="service the target belongs to")
    beat_seconds: float = option(
        1.5, help="usual time between two heartbeats", low=0.05, high=600.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreAccess:
    """Access to the store of sheets, entries of targets and moves."""

    address: str = option(help="IP:port of the store")
    lease_min_seconds: float = option(
        1.0, help="shortest lease the store grants", low=0.01, high=600.0
    )
    timeout_seconds: float = option(
        1.0, help="longest wait for a response", low=0.05, high=60.0
    )
    lease_seconds: float = option(
        2.0,
        help="lease of the proxy that leads a move; without renewal another one leads",
        low=1,
        high=600,
    )
    watch_seconds: float = option(
        5.0, help="longest wait of one watch", low=0.1, high=30.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Promises:
    """Bounds that all proxies together guarantee."""

    grace_seconds: float = _seconds(6.0, "time from SIGTERM to SIGKILL")
    retry_share: float = option(
        0.2, help="retries for a service, as a share of its calls", low=0, high=1
    )
    retry_extra: float = option(
        60.0, help="further retries allowed for a service in a window", low=0, high=1e6
    )
    expose_share: float = option(
        0.1, help="share of calls that a bad version may receive", low=0, high=1
    )
    in_force_seconds: float = _seconds(
        2.0, "longest time until a new sheet is in force"
    )
    evacuation_seconds: float = _seconds(
        0.0, "longest time until a domain is evacuated, 0 if none ever is"
    )
    cold_excess: float = option(
        1.0, help="multiple of a cold target's rate that it bears", low=1, high=1e3
    )
    cold_slack: float = option(
        0.0, help="further calls that a cold target bears in a second", low=0, high=1e6
    )
    strict_revocation: str = option(
        "no",
        help="whether a revoked key must also end at hosts that are cut off",
        choices=("yes", "no"),
    )
    revocation_seconds: float = _seconds(
        0.0, "longest time until a revoked key ends everywhere, 0 for no bound"
    )
    quota_window_seconds: float = _seconds(
        0.0, "length of the windows in which a quota holds, 0 if there are no quotas"
    )
    quota_excess: float = option(
        0.0, help="share by which a window may exceed the quota", low=0, high=10
    )
    quota_slack: float = option(
        0.0, help="further calls by which a window may exceed it", low=0, high=1e6
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Placement:
    """Choice of targets that report how long work takes on their host."""

    kilobyte_seconds: float = option(
        0.1,
        help="delay in seconds that a kilobyte between domains is worth",
        low=0,
        high=60,
    )
    sample: int = option(
        6, help="targets of each domain considered for one call", low=1, high=100
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class ProxySettings:
    """All sections of the settings of a proxy, which serves the target on its host."""

    proxy: Proxy
    target: LocalTarget
    store: StoreAccess
    promises: Promises
    placement: Placement = dataclasses.field(default_factory=Placement)
