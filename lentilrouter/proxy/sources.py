"""Know this proxy's place in its failure domain, and which proxies it may ask.

A proxy that did not answer is passed over until it answers again: now and then it is
asked beside others, and nothing waits for it. One that the store does not answer, while
it answers others, leaves reading to the next.
"""

from lentilrouter.proxy import readers

RETRY_AFTER_SECONDS = 3.0  # between questions to a proxy that is passed over
RETRIES_AT_ONCE = 2  # proxies that are asked again at a time
UNANSWERED_SECONDS = 3.0  # by the store, after which a proxy tries to read it again
TOLD_SECONDS = 10.0  # others let it pass longer: they hear no more of it meanwhile


class Sources:
    """Hold the ``Place`` of this proxy.

    ``services`` gives state, directory, settings, clock and log. ``skipped`` maps hosts
    that did not answer to the time at which they are asked again, ``store_unreachable``
    those that the store does not answer to the time until which they count as that.
    """

    __slots__ = (
        "services",
        "place",
        "chosen_for",
        "skipped",
        "store_unreachable",
        "turns",
    )

    def __init__(self, services):
        self.services = services
        self.place = readers.Place(True, ())
        self.chosen_for = None
        self.skipped = {}
        self.store_unreachable = {}
        self.turns = 0

    def choose(self):
        """Choose the place anew if the targets known, or what they are, changed."""
        services, now = self.services, self.services.clock()
        known = services.directory.by_host
        self.skipped = {host: at for host, at in self.skipped.items() if host in known}
        self.store_unreachable = _later(self.store_unreachable, now)
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
            if target.domain == proxy.domain
            and target.open
            and target.host not in skipped
        ]
        self.place = readers.choose(proxy.address, targets, store_unreachable)

    def in_turn(self):
        """Return the targets to ask, begun with another one each time.

        So one which has no news, being cut off, does not hold this proxy up.
        """
        targets = self.place.sources
        self.turns += 1
        turn = self.turns % len(targets)
        return targets[turn:] + targets[:turn]

    def skip(self, host):
        """Pass over a host that did not answer, or not in time."""
        if host not in self.skipped:
            self.services.log.event("source-passed-over", host=host)
        self.skipped[host] = self.services.clock() + RETRY_AFTER_SECONDS

    def take_due(self):
        """Return the targets passed over that are to be asked again now."""
        now, known = self.services.clock(), self.services.directory.by_host
        due = [known[host] for host, at in self.skipped.items() if at <= now]
        taken = readers.ranked(due, self.store_unreachable)[:RETRIES_AT_ONCE]
        self.skipped.update(
            {target.host: now + RETRY_AFTER_SECONDS for target in taken}
        )
        return taken

    def note(self, host, store_unreachable):
        """Note an answer of another host, and whether the store answers its proxy."""
        self.skipped.pop(host, None)
        if store_unreachable:
            self.store_unreachable[host] = self.services.clock() + TOLD_SECONDS
        else:
            self.store_unreachable.pop(host, None)

    def note_own_store(self, store_unreachable):
        """Note whether the store answers others but not this proxy."""
        services = self.services
        host = services.settings.proxy.address
        if not store_unreachable:
            self.store_unreachable.pop(host, None)
        else:
            if not services.state.store_unreachable:
                services.log.event("store-answers-others", reads=self.place.reads)
            self.store_unreachable[host] = services.clock() + UNANSWERED_SECONDS
        services.state.note_store_unreachable(store_unreachable)


def _later(times, now):
    """Return the entries whose time has not come yet."""
    return {host: until for host, until in times.items() if until > now}
