"""Choose which proxies read the operator's keys from the store, and whom others ask.

All proxies of a failure domain that know the same hosts make the same choice: those
with the fastest links read the store, the next ones ask these, and so on, at most
``FANOUT`` to a proxy. Hosts for which the store is unreachable come last. Proxies that
know different hosts may choose differently; that does no harm, since any proxy may be
asked.
"""

import dataclasses

from lentilrouter.core import hashing

READERS = 2  # proxies of a failure domain that read the store; one may fail
FANOUT = 32  # proxies that ask the same proxy


@dataclasses.dataclass(slots=True, frozen=True)
class Role:
    """Whether a proxy reads the store, and the targets whose proxies it may ask."""

    reads: bool
    sources: tuple


def choose(host, targets, store_unreachable=()):
    """Return the ``Role`` of a host among the targets of its failure domain.

    ``store_unreachable`` are the hosts for which the store is unreachable.
    """
    order = ranked(targets, store_unreachable)
    hosts = [target.host for target in order]
    index = hosts.index(host) if host in hosts else len(hosts)
    if index < READERS:
        # The first proxy after the readers may reach the store when no reader does.
        others = [target for target in order[: READERS + 1] if target.host != host]
        return Role(True, tuple(others))
    number = index - READERS
    if number < READERS * FANOUT:
        first = number % READERS
    else:
        first = READERS + (number - READERS * FANOUT) // FANOUT
    second = (first + 1) % READERS
    # A host without an entry yet may see one reader or none.
    indexes = [each for each in (first, second) if each < len(order)]
    return Role(not indexes, tuple(order[each] for each in indexes))


def ranked(targets, store_unreachable=()):
    """Return targets in the order in which their proxies should read from the store."""
    return sorted(targets, key=lambda target: _rank(target, store_unreachable))


def _rank(target, store_unreachable):
    """Return the sort key: reachability of the store, link speed, hash of the host."""
    last = target.host in store_unreachable
    return (last, -target.link_mbps, hashing.hash64(target.host))
