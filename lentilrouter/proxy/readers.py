"""Choose which proxies read the operator's keys from the store, and whom others ask.

All proxies of a failure domain that know the same hosts choose the same: those with the
fastest links read the store, the next ask them, and so on, ``FANOUT`` to a proxy. Hosts
that the store does not answer come last. Views that differ do no harm, since any proxy
may be asked.
"""

import dataclasses

from lentilrouter.core import hashing

READERS = 2  # of a failure domain; the others go on if one is lost
FANOUT = 32  # proxies that ask one


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Say whether a proxy reads the store, and the targets whose proxies it may ask."""

    reads: bool
    sources: tuple


def choose(host, targets, store_unreachable=()):
    """Return the ``Place`` of a host among the targets of its failure domain.

    ``store_unreachable`` are the hosts that the store does not answer.
    """
    order = ranked(targets, store_unreachable)
    hosts = [target.host for target in order]
    index = hosts.index(host) if host in hosts else len(hosts)
    if index < READERS:
        # One that asks may reach the store where no reader does.
        others = [target for target in order[: READERS + 1] if target.host != host]
        return Place(True, tuple(others))
    number = index - READERS
    if number < READERS * FANOUT:
        first = number % READERS
    else:
        first = READERS + (number - READERS * FANOUT) // FANOUT
    second = (first + 1) % READERS
    # Of a host that is not entered yet there may be no second reader, or none.
    places = [place for place in (first, second) if place < len(order)]
    return Place(not places, tuple(order[place] for place in places))


def ranked(targets, store_unreachable=()):
    """Return targets in the order in which they are to read from the store."""
    return sorted(targets, key=lambda target: _rank(target, store_unreachable))


def _rank(target, store_unreachable):
    last = target.host in store_unreachable
    return (last, -target.link_mbps, hashing.hash64(target.host))
