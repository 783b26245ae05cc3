"""Track the role of this proxy, and the proxies that it may ask for the shared state.

A proxy that did not respond is skipped until it responds again: from time to time it is
asked in the background. A proxy for which the store is unreachable, while the store
responds to others, leaves reading the store to the next one.
"""

import asyncio

from lentilrouter.proxy import readers

RETRY_AFTER_SECONDS = 3.0  # between requests to a skipped proxy
RETRIES_AT_ONCE = 2  # skipped proxies that are asked again at a time
# Time until a proxy for which the store is unreachable tries to read it again.
STORE_UNREACHABLE_SECONDS = 3.0
# Time until another proxy's report that the store is unreachable for it expires. It is
# longer, since a proxy that is not asked sends no newer report.
REPORT_SECONDS = 10.0


class Sources:
    """Choose the ``Role`` of this proxy, and the order in which to ask others.

    ``services`` provides state, directory, settings, clock and log. ``tree`` is the
    last choice among the known targets, ``role`` that of this proxy. ``skipped`` maps
    hosts that did not respond to the time at which they are asked again.
    ``store_unreachable`` maps hosts for which the store is unreachable to the time at
    which that expires. ``chosen_for`` are the inputs from which ``role`` was last
    chosen. ``reading`` is set while this proxy reads the store. ``turns`` counts the
    calls of ``rotated``.
    """

    __slots__ = (
        "services",
        "tree",
        "role",
        "reading",
        "chosen_for",
        "skipped",
        "store_unreachable",
        "turns",
    )

    def __init__(self, services):
        self.services = services
        self.tree = readers.Tree(())
        self.role = readers.Role(True, ())
        self.reading = asyncio.Event()
        self.chosen_for = None
        self.skipped = {}
        self.store_unreachable = {}
        self.turns = 0

    def choose(self):
        """Choose the role again if the known targets or their state have changed."""
        services, now = self.services, self.services.clock()
        known = services.directory.by_host
        self.skipped = {host: at for host, at in self.skipped.items() if host in known}
        self.store_unreachable = _unexpired(self.store_unreachable, now)
        proxy = services.settings.proxy
        services.state.note_store_unreachable(proxy.address in self.store_unreachable)
        skipped = frozenset(self.skipped)
        store_unreachable = frozenset(self.store_unreachable)
        chosen_for = (services.directory.changes, skipped, store_unreachable)
        if chosen_for == self.chosen_for:
            return
        self.chosen_for = chosen_for
        targets = [
            target
            for target in known.values()
            if target.open and target.host not in skipped
        ]
        self.tree = readers.Tree(targets, store_unreachable)
        self.role = self.tree.role(proxy.address, proxy.domain)
        if self.role.reads:
            self.reading.set()
        else:
            self.reading.clear()

    def announced_to(self):
        """Return the targets whose proxies pass a change of this proxy's entry on.

        These are the readers, and the leaders of its failure domain.
        """
        self.choose()
        proxy = self.services.settings.proxy
        chosen = self.tree.readers + self.tree.leaders(proxy.domain)
        by_host = {target.host: target for target in [*chosen, *self.role.sources]}
        by_host.pop(proxy.address, None)
        return list(by_host.values())

    def rotated(self):
        """Return the targets whose proxies to ask, each time with another one first.

        A proxy that is cut off and has no changes thus does not delay every refresh.
        """
        targets = self.role.sources
        self.turns += 1
        turn = self.turns % len(targets)
        return targets[turn:] + targets[:turn]

    def skip(self, host):
        """Skip a host that did not respond, or not in time, until it responds again."""
        if host not in self.skipped:
            self.services.log.event("source-passed-over", host=host)
        self.skipped[host] = self.services.clock() + RETRY_AFTER_SECONDS

    def take_due(self):
        """Return the skipped targets to ask again now, and schedule their next retry.

        At most ``RETRIES_AT_ONCE`` targets are returned.
        """
        now, known = self.services.clock(), self.services.directory.by_host
        due = [known[host] for host, at in self.skipped.items() if at <= now]
        taken = readers.ranked(due, self.store_unreachable)[:RETRIES_AT_ONCE]
        self.skipped.update(
            {target.host: now + RETRY_AFTER_SECONDS for target in taken}
        )
        return taken

    def note_response(self, host, store_unreachable):
        """Record a response of another host's proxy.

        ``store_unreachable`` is true if it reports that the store responds to others,
        but not to it.
        """
        self.skipped.pop(host, None)
        if store_unreachable:
            self.store_unreachable[host] = self.services.clock() + REPORT_SECONDS
        else:
            self.store_unreachable.pop(host, None)

    def note_own_store(self, store_unreachable):
        """Record whether the store responds to others, but not to this proxy."""
        services = self.services
        host = services.settings.proxy.address
        if not store_unreachable:
            self.store_unreachable.pop(host, None)
        else:
            if not services.state.store_unreachable:
                services.log.event("store-answers-others", reads=self.role.reads)
            self.store_unreachable[host] = services.clock() + STORE_UNREACHABLE_SECONDS
        services.state.note_store_unreachable(store_unreachable)


def _unexpired(times, now):
    """Return the entries whose time is after ``now``."""
    return {host: until for host, until in times.items() if until > now}
