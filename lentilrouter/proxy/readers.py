"""Choose which proxies read the store, and whom the others ask.

All proxies that know the same hosts make the same choice. Each failure domain has
leaders, those of its proxies with the fastest links. The first leaders of the best
domains read the store, all leaders ask these readers, and the other proxies ask the
leaders of their domain, at most ``FANOUT`` to a proxy; in a large domain there is a
further step. Hosts for which the store is unreachable come last.

Proxies that know different hosts may choose differently; that does no harm, since any
proxy may be asked.
"""

import dataclasses
import itertools

from lentilrouter.core import hashing

READERS = 2  # proxies that read the store, of different domains; one may fail
LEADERS = 2  # proxies of a failure domain that ask the readers; one may fail
FANOUT = 32  # proxies that ask the same proxy


@dataclasses.dataclass(slots=True, frozen=True)
class Role:
    """Whether a proxy reads the store, and the targets whose proxies it may ask.

    ``leads`` is true for the readers and the leaders of a domain.
    """

    reads: bool
    sources: tuple
    leads: bool = False


class Tree:
    """The choice among known targets, with the readers at the root.

    ``store_unreachable`` are the hosts for which the store is unreachable.
    ``by_domain`` has the targets of each domain by rank. ``candidates`` are those that
    may read the store, in order: the first ones of all domains, then the second ones,
    and so on.
    """

    __slots__ = ("by_domain", "candidates")

    def __init__(self, targets, store_unreachable=()):
        self.by_domain = {}
        for target in ranked(targets, store_unreachable):
            self.by_domain.setdefault(target.domain, []).append(target)
        turns = itertools.zip_longest(
            *(domain[: LEADERS + 1] for domain in self.by_domain.values())
        )
        self.candidates = [
            target for turn in turns for target in turn if target is not None
        ]

    @property
    def readers(self):
        """Return the targets whose proxies read the store."""
        return self.candidates[:READERS]

    def leaders(self, domain):
        """Return the targets whose proxies lead a failure domain."""
        return self.by_domain.get(domain, [])[:LEADERS]

    def role(self, host, domain):
        """Return the ``Role`` of a host in a failure domain."""
        if any(target.host == host for target in self.readers):
            # The next proxy may reach the store when no reader does.
            others = [t for t in self.candidates[: READERS + 1] if t.host != host]
            return Role(True, tuple(others), leads=True)
        own = self.by_domain.get(domain, [])
        index = next((i for i, t in enumerate(own) if t.host == host), len(own))
        leads = index < LEADERS and bool(own)
        # A proxy without an entry may be the first one of its domain.
        sources = self.readers if leads or not own else _sources(own, index)
        sources = [target for target in sources if target.host != host]
        near_first = sorted(sources, key=lambda target: target.domain != domain)
        return Role(not sources, tuple(near_first), leads)

    def asking(self, host, domain):
        """Return the hosts whose proxies may ask the proxy of a host."""
        own = self.by_domain.get(domain, [])
        asking = set()
        if any(target.host == host for target in self.readers):
            for name in self.by_domain:
                asking.update(target.host for target in self.leaders(name))
        for index in range(LEADERS, len(own)):
            if any(target.host == host for target in _sources(own, index)):
                asking.add(own[index].host)
        return asking - {host}


def _sources(own, index):
    """Return whom a proxy asks that is at ``index`` among those of its domain."""
    number = max(0, index - LEADERS)
    if number < LEADERS * FANOUT:
        first = number % LEADERS
    else:
        first = LEADERS + (number - LEADERS * FANOUT) // FANOUT
    second = (first + 1) % LEADERS
    return [own[each] for each in (first, second) if each < len(own)]


def ranked(targets, store_unreachable=()):
    """Return targets in the order in which their proxies should read from the store."""
    return sorted(targets, key=lambda target: _rank(target, store_unreachable))


def _rank(target, store_unreachable):
    """Return the sort key: reachability of the store, link speed, hash of the host."""
    last = target.host in store_unreachable
    return (last, -target.link_mbps, hashing.hash64(target.host))
