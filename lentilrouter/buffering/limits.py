"""Derive the limits on memory and connections from what the host has."""

import dataclasses

MIB = 1024 * 1024
# Used if the settings don't say what the host has: the least that hosts usually have.
DEFAULT_MEMORY_BYTES = 200 * MIB
DEFAULT_DESCRIPTORS = 4100
RESERVED_DESCRIPTORS = 200  # for files, the event loop, and what else a process opens
# Memory kept free beyond the base memory, as a share of the host's: for allocator
# overhead, caches that fill after the start and reads in progress.
MARGIN_SHARE = 0.15
RESPONSE_SHARE = 0.25  # of the remaining memory, for responses being received
# Shares of the descriptors. A request in flight may need a connection to its target.
CALLER_CONNECTION_SHARE = 0.3
PEER_CONNECTION_SHARE = 0.2
REQUEST_SHARE = 0.35
MIN_BYTES = MIB  # a host without free memory still serves small requests


@dataclasses.dataclass(slots=True, frozen=True)
class Ceilings:
    """Most bytes, accepted connections and requests in flight of a process.

    ``request_bytes`` bounds what requests hold, ``response_bytes`` the responses being
    received.
    """

    request_bytes: int
    response_bytes: int
    caller_connections: int
    peer_connections: int
    requests: int


def derive(proxy, base_bytes):
    """Return the ``Ceilings`` for the settings ``[proxy]`` and the base memory.

    >>> import types
    >>> host = types.SimpleNamespace(memory_mb=200, descriptors=4200)
    >>> derive(host, 40 * MIB).caller_connections
    1200
    >>> derive(host, 40 * MIB).request_bytes // MIB
    97
    """
    memory = proxy.memory_mb * MIB or DEFAULT_MEMORY_BYTES
    room = max(MIN_BYTES, (1 - MARGIN_SHARE) * memory - base_bytes)
    descriptors = (proxy.descriptors or DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS
    return Ceilings(
        request_bytes=int(room * (1 - RESPONSE_SHARE)),
        response_bytes=int(room * RESPONSE_SHARE),
        caller_connections=max(1, int(descriptors * CALLER_CONNECTION_SHARE)),
        peer_connections=max(1, int(descriptors * PEER_CONNECTION_SHARE)),
        requests=max(1, int(descriptors * REQUEST_SHARE)),
    )
