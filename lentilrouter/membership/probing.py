"""Choose the node for the next exchange. Does no I/O."""

OTHER_DOMAIN_EVERY_TURNS = 4
DEAD_EVERY_TURNS = 5
SAMPLE_MAX = 64  # entries; longer lists are sampled
SUSPECT_PAUSE_SHARE = 0.4  # of the interval, while this node suspects others


class Prober:
    """Choice of the nodes for exchanges.

    The nodes of the own failure domain are chosen in shuffled rounds. Every few turns a
    node of another domain is chosen instead, and every few turns a dead node, so that
    domains that were partitioned find each other again. While this node suspects
    others, each turn goes to one of them: a lost message must not suffice to declare a
    node dead.
    """

    __slots__ = ("table", "random", "remaining", "turn", "suspects")

    def __init__(self, table, random):
        self.table = table
        self.random = random
        self.remaining = []
        self.turn = 0
        self.suspects = []

    def note_suspect(self, id):
        """Record that this node suspects a node by its own exchanges."""
        self.suspects.append(id)

    def pause_share(self):
        """Return the part of the interval to wait before the next exchange."""
        return SUSPECT_PAUSE_SHARE if self.suspects else 1.0

    def next(self):
        """Return the node for the next exchange, or ``None`` if none is known."""
        self.turn += 1
        suspect = self._next_suspect()
        if suspect is not None:
            return suspect
        if self.turn % DEAD_EVERY_TURNS == 0:
            dead = self.table.in_state(self.table.me.state.DEAD)
            if dead:
                return self.random.choice(dead)
        if self.turn % OTHER_DOMAIN_EVERY_TURNS == 0:
            others = self._sample(self.table.alive(), 1, self._in_other_domain)
            if others:
                return others[0]
        return self._next_in_round()

    def eager_peers(self, count):
        """Return up to ``count`` random nodes for an eager exchange.

        One of them is of another domain, if one is known; the others are of the own
        domain.
        """
        far = self._sample(self.table.alive(), 1, self._in_other_domain)
        near = self.table.alive(self.table.me.domain)
        return far + self._sample(near, count - len(far), _any_member)

    def helpers(self, avoid, count):
        """Return up to ``count`` random nodes that may probe the node ``avoid``."""
        able = self.table.alive()
        return self._sample(able, count, lambda entry: entry.id != avoid.id)

    def _in_other_domain(self, entry):
        return entry.domain != self.table.me.domain

    def _sample(self, entries, count, condition):
        """Return up to ``count`` random entries that meet a condition.

        A long list is sampled and not scanned, so an entry that meets the condition may
        be missed when few do.
        """
        if len(entries) > SAMPLE_MAX:
            entries = self.random.sample(entries, SAMPLE_MAX)
        able = [entry for entry in entries if condition(entry)]
        return self.random.sample(able, min(count, len(able)))

    def _next_suspect(self):
        """Return the next of the suspects in turn, or ``None`` if there are none."""
        suspect = self.table.me.state.SUSPECT
        members = self.table.members
        self.suspects = [
            id for id in self.suspects if id in members and members[id].state is suspect
        ]
        if not self.suspects:
            return None
        self.suspects.append(self.suspects.pop(0))
        return members[self.suspects[-1]]

    def _next_in_round(self):
        """Return the next node of the round, or ``None`` if no node is usable."""
        while self.remaining:
            entry = self.table.members.get(self.remaining.pop())
            if entry is not None and entry.usable:
                return entry
        chosen = self._usable(self.table.me.domain) or self._usable(None)
        self.remaining = [entry.id for entry in chosen]
        self.random.shuffle(self.remaining)
        if not self.remaining:
            return None
        return self.table.members[self.remaining.pop()]

    def _usable(self, domain):
        """Return the other nodes that are alive or suspected."""
        state = self.table.me.state
        suspects = self.table.in_state(state.SUSPECT, domain)
        return [*self.table.alive(domain), *suspects]


def _any_member(entry):
    return True
