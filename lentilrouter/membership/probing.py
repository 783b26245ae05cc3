"""Choose whom to exchange with next. No input or output."""

OTHER_DOMAIN_EVERY = 4
DEAD_EVERY = 5
SAMPLED_ABOVE = 64
DOUBTED_PAUSE_SHARE = 0.4


class Prober:
    """Walk through the own failure domain in shuffled rounds.

    Every few turns another domain is visited, and every few turns a node held dead,
    so that domains that were cut apart find each other again. A node that this one
    suspects is asked again at every turn: a lost message should not cost it its life.
    """

    __slots__ = ("table", "random", "round", "turn", "suspects")

    def __init__(self, table, random):
        self.table = table
        self.random = random
        self.round = []
        self.turn = 0
        self.suspects = []

    def note_suspect(self, id):
        """Note a node that this one suspects first-hand."""
        self.suspects.append(id)

    def pause_share(self):
        """Return the part of the interval to wait before the next exchange."""
        return DOUBTED_PAUSE_SHARE if self.suspects else 1.0

    def next(self):
        """Return the node to exchange with, or ``None`` if none is known."""
        self.turn += 1
        doubted = self._next_doubted()
        if doubted is not None:
            return doubted
        if self.turn % DEAD_EVERY == 0:
            dead = self.table.in_state(self.table.me.state.DEAD)
            if dead:
                return self.random.choice(dead)
        if self.turn % OTHER_DOMAIN_EVERY == 0:
            others = self._sample(self.table.alive(), 1, self._is_far)
            if others:
                return others[0]
        return self._next_in_round()

    def audience(self, count):
        """Return random nodes to pass news to: mostly of the own domain.

        One of them is of another domain if one is known.
        """
        far = self._sample(self.table.alive(), 1, self._is_far)
        near = self.table.alive(self.table.me.domain)
        return far + self._sample(near, count - len(far), _anyone)

    def helpers(self, avoid, count):
        """Return nodes that may probe ``avoid`` on this node's behalf."""
        able = self.table.alive()
        return self._sample(able, count, lambda entry: entry.id != avoid.id)

    def _is_far(self, entry):
        return entry.domain != self.table.me.domain

    def _sample(self, entries, count, condition):
        """Return up to ``count`` random entries that meet a condition.

        A long list is sampled and not walked, so an entry that meets the condition
        may be missed when few do.
        """
        if len(entries) > SAMPLED_ABOVE:
            entries = self.random.sample(entries, SAMPLED_ABOVE)
        able = [entry for entry in entries if condition(entry)]
        return self.random.sample(able, min(count, len(able)))

    def _next_doubted(self):
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
        while self.round:
            entry = self.table.members.get(self.round.pop())
            if entry is not None and entry.usable:
                return entry
        chosen = self._answering(self.table.me.domain) or self._answering(None)
        self.round = [entry.id for entry in chosen]
        self.random.shuffle(self.round)
        if not self.round:
            return None
        return self.table.members[self.round.pop()]

    def _answering(self, domain):
        state = self.table.me.state
        suspects = self.table.in_state(state.SUSPECT, domain)
        return [*self.table.alive(domain), *suspects]


def _anyone(entry):
    return True
