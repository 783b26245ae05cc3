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
    """Name the node and its place."""

    id: str = option(help="name of the node, unique in the mesh")
    domain: str = option(help="failure domain of the host")
    region: str = option("default", help="region of the failure domain")
    address: str = option("127.0.0.1", help="IP address other nodes reach it under")
    call_port: int = port("port for callers")
    peer_port: int = port("port for calls forwarded by other nodes")
    control_port: int = port("port for administration, metrics and control traffic")
    peers: list = option([], help="control addresses tried when the platform is down")
    drain_seconds: float = option(
        30.0, help="longest wait for work in flight at shutdown", low=0.0, high=3600.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Platform:
    """Say how to reach the key-value service."""

    backend: str = option("http", help="store back end", choices=("http", "memory"))
    address: str = option("127.0.0.1:7400", help="IP:port of the service")
    timeout_seconds: float = option(2.0, help="limit for a call", low=0.01, high=60.0)
    watch_seconds: float = option(
        10.0, help="how long one watch waits", low=0.1, high=300.0
    )
    lease_seconds: float = option(
        4.0, help="life of a lease that is not renewed", low=0.5, high=60.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Membership:
    """Tune how nodes learn of each other."""

    interval_seconds: float = option(
        1.0, help="time between two exchanges", low=0.05, high=60.0
    )
    timeout_seconds: float = option(
        0.5, help="limit for one exchange", low=0.01, high=10.0
    )
    suspect_seconds: float = option(
        3.0, help="time a suspected node has to refute", low=0.1, high=120.0
    )
    forget_seconds: float = option(
        600.0, help="time a dead node is remembered", low=1.0, high=86400.0
    )
    heartbeat_seconds: float = option(
        3.0, help="silence after which a target counts as gone", low=0.2, high=60.0
    )
    updates_per_exchange: int = option(
        12, help="entries carried by one exchange", low=1, high=1000
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Distribution:
    """Tune how changes travel."""

    fanout: int = option(4, help="children of a relay", low=1, high=64)
    push_timeout_seconds: float = option(
        0.6, help="limit for one push to a peer", low=0.01, high=10.0
    )
    poll_seconds: float = option(
        2.0, help="time between two reads of the head by a feeder", low=0.1, high=60.0
    )
    snapshots_at_once: int = option(
        4, help="whole sheets served at the same time", low=1, high=100
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Calls:
    """Limit what one call may use."""

    max_body_bytes: int = option(
        32 * MIB, help="largest request or answer", low=1024, high=1024 * MIB
    )
    body_memory_bytes: int = option(
        64 * MIB, help="memory for all bodies in flight", low=1024, high=1024 * MIB
    )
    default_deadline_ms: int = option(
        5000, help="time for a call that sets none", low=1, high=3_600_000
    )
    retry_share: float = option(
        0.1, help="retries as a share of calls", low=0.0, high=1.0
    )
    queue_per_slot: int = option(
        2, help="calls that may wait for each slot", low=0, high=100
    )
    queue_order: str = option(
        "shares", help="order of waiting calls", choices=("shares", "fifo")
    )
    idle_seconds: float = option(
        10.0, help="life of an unused connection", low=0.1, high=300.0
    )
    max_connections: int = option(
        512, help="connections accepted from callers", low=1, high=65536
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Moves:
    """Choose how moves are decided."""

    policy: str = option(
        "cautious", help="named policy for moves", choices=("cautious", "punctual")
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
    """Name the proxy, its place and the addresses it listens on."""

    id: str = option(help="name of the host")
    domain: str = option(help="failure domain of the host")
    region: str = option("default", help="region of the failure domain")
    address: str = option(help="IP address other proxies reach it under")
    callers: str = option(help="IP:port for callers and the local target")
    ready: str = option(help="IP:port for readiness questions")
    heartbeats: str = option(help="IP:port for the local target's heartbeats")
    peer_port: int = port("port for calls forwarded by other proxies")
    metrics_port: int = port("port for metrics and questions about state")
    link_mbps: float = option(
        1000.0, help="megabits a second of the host's link", low=0.001, high=1e6
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class LocalTarget:
    """Describe the target on the same host."""

    address: str = option(help="IP:port of the target")
    service: str = option(help="service the target belongs to")
    beat_seconds: float = option(
        1.5, help="usual time between heartbeats", low=0.05, high=600.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreAccess:
    """Reach the store that keeps sheets, entries and moves."""

    address: str = option(help="IP:port of the store")
    lease_min_seconds: float = option(
        1.0, help="shortest lease the store grants", low=0.01, high=600.0
    )
    timeout_seconds: float = option(
        1.0, help="longest wait for an answer", low=0.05, high=60.0
    )
    lease_seconds: float = option(
        6.0, help="lease of the proxy's entry; missed renewals end it", low=1, high=600
    )
    watch_seconds: float = option(
        20.0, help="longest wait of one watch", low=0.1, high=30.0
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Promises:
    """State the bounds that the proxies keep together."""

    grace_seconds: float = _seconds(6.0, "time from SIGTERM to SIGKILL")
    retry_share: float = option(
        0.2, help="repeated sends of a service as a share of its calls", low=0, high=1
    )
    retry_extra: float = option(
        60.0, help="repeated sends allowed on top in a window", low=0, high=1e6
    )
    expose_share: float = option(
        0.1, help="share of calls a bad version may get", low=0, high=1
    )
    in_force_seconds: float = _seconds(2.0, "time until a new sheet is in force")


@dataclasses.dataclass(slots=True, kw_only=True)
class ProxySettings:
    """All sections of the settings of a proxy, which serves the target on its host."""

    proxy: Proxy
    target: LocalTarget
    store: StoreAccess
    promises: Promises
