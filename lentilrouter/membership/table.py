"""Merge what nodes say of each other; decide who is alive. No input or output."""

import dataclasses
import math
import textwrap

from lentilrouter.core import hashing
from lentilrouter.membership import index as members_index
from lentilrouter.membership import member

BUCKETS = 512
DIGEST_MASK = 0xFFFF
MIN_SENDS = 4
SENDS_PER_DOUBLING = 2
HEARSAY_FACTOR = 3


@dataclasses.dataclass(slots=True)
class Rumor:
    """Count how often an update was sent."""

    sent: int = 0


class Table:
    """Hold every known node, itself included.

    All times are seconds of a clock that the caller passes in as ``now``. The
    ``listener`` is called without arguments whenever an entry changed.
    """

    __slots__ = (
        "self_id",
        "settings",
        "members",
        "since",
        "first_hand",
        "rumors",
        "buckets",
        "index",
        "listener",
    )

    def __init__(self, me, settings):
        self.self_id = me.id
        self.settings = settings
        self.members = {}
        self.since = {}
        self.first_hand = set()
        self.rumors = {}
        self.buckets = [0] * BUCKETS
        self.index = members_index.Index()
        self.listener = None
        self._store(me, 0.0)

    @property
    def me(self):
        """Return the own entry."""
        return self.members[self.self_id]

    def update_self(self, now, **changes):
        """Change the own entry and spread it under a higher incarnation."""
        incarnation = self.me.incarnation + 1
        entry = dataclasses.replace(self.me, incarnation=incarnation, **changes)
        self._store(entry, now)

    def merge(self, entry, now):
        """Take in what another node said; return whether it was news."""
        known = self.members.get(entry.id)
        if entry.id == self.self_id:
            return self._refute(entry, now)
        if known is not None and not _supersedes(entry, known):
            return False
        if known is None and entry.state >= member.State.DEAD:
            return False
        self._store(entry, now)
        return True

    def _refute(self, entry, now):
        if entry.incarnation < self.me.incarnation:
            return False
        if entry == self.me:
            return False
        incarnation = entry.incarnation + 1
        self._store(dataclasses.replace(self.me, incarnation=incarnation), now)
        return True

    def suspect(self, id, now):
        """Mark a node that did not answer; return whether that was news."""
        known = self.members.get(id)
        if known is None or known.state is not member.State.ALIVE:
            return False
        self._store(dataclasses.replace(known, state=member.State.SUSPECT), now)
        self.first_hand.add(id)
        return True

    def expire(self, now):
        """Turn old suspects into dead nodes and forget old dead ones."""
        limits = self.settings.membership
        for id, since in list(self.since.items()):
            entry = self.members[id]
            age = now - since
            if entry.state is member.State.SUSPECT and age >= self._suspicion_timeout(
                id
            ):
                self._store(dataclasses.replace(entry, state=member.State.DEAD), now)
            elif entry.state >= member.State.DEAD and age >= limits.forget_seconds:
                self._forget(id)

    def _suspicion_timeout(self, id):
        """Return how long a suspect lives: longer where the suspicion is hearsay.

        Who suspects first-hand asks the suspect again meanwhile; the others leave the
        word to it.
        """
        seconds = self.settings.membership.suspect_seconds
        return seconds if id in self.first_hand else HEARSAY_FACTOR * seconds

    def updates(self, limit, about=None):
        """Return up to ``limit`` entries to send, least sent first.

        An entry for ``about``, the receiver, is always included unless it is plainly
        alive, so that a node which is wrongly held dead learns of it and refutes.
        """
        chosen = sorted(self.rumors, key=lambda id: self.rumors[id].sent)[:limit]
        most = self.sends_per_rumor()
        for id in chosen:
            self.rumors[id].sent += 1
            if self.rumors[id].sent >= most:
                del self.rumors[id]
        entry = self.members.get(about)
        if entry is not None and entry.state is not member.State.ALIVE:
            chosen = [*chosen, about] if about not in chosen else chosen
        return [self.members[id] for id in chosen]

    def sends_per_rumor(self):
        """Return how often one update is sent, growing with the logarithm of size."""
        doublings = math.ceil(math.log2(len(self.members) + 1))
        return max(MIN_SENDS, SENDS_PER_DOUBLING * doublings)

    def in_state(self, state, domain=None):
        """Return the other nodes in a state, optionally of one failure domain."""
        return self.index.in_state(state, domain)

    def alive(self, domain=None):
        """Return the other nodes that are alive."""
        return self.in_state(member.State.ALIVE, domain)

    def domains(self):
        """Return the names of all known failure domains, sorted."""
        return sorted({*self.index.domains(), self.me.domain})

    def holders(self, duty):
        """Return usable nodes that say they hold a duty."""
        return self.index.holders(duty)

    def targets(self, service):
        """Return ``(target, member)`` pairs of a service that may be sent calls."""
        return self.index.targets(service)

    def digest(self):
        """Return a short digest of the whole table."""
        return f"{hashing.hash64(self.bucket_digests()):016x}"

    def bucket_digests(self):
        """Return the digests of all buckets as one hexadecimal text."""
        return "".join(f"{value:04x}" for value in self.buckets)

    def entries_differing(self, other_digests, limit):
        """Return entries of buckets that differ from another table's digests."""
        width = 4
        own = textwrap.wrap(self.bucket_digests(), width)
        other = textwrap.wrap(other_digests, width)
        both = enumerate(zip(own, other, strict=True))
        differing = {index for index, (mine, theirs) in both if mine != theirs}
        chosen = [e for e in self.members.values() if _bucket(e.id) in differing]
        return chosen[:limit]

    def _store(self, entry, now):
        known = self.members.get(entry.id)
        self.first_hand.discard(entry.id)
        if known is not None:
            self._toggle(known)
            self.index.remove(known)
        self.members[entry.id] = entry
        self._toggle(entry)
        self.index.add(entry, grouped=entry.id != self.self_id)
        self.rumors[entry.id] = Rumor()
        if entry.state is member.State.ALIVE:
            self.since.pop(entry.id, None)
        else:
            self.since[entry.id] = now
        if self.listener is not None:
            self.listener()

    def _forget(self, id):
        entry = self.members.pop(id)
        self._toggle(entry)
        self.index.remove(entry)
        self.since.pop(id, None)
        self.rumors.pop(id, None)

    def _toggle(self, entry):
        text = f"{entry.id} {entry.incarnation} {int(entry.state)}"
        self.buckets[_bucket(entry.id)] ^= hashing.hash64(text) & DIGEST_MASK


def _supersedes(entry, known):
    return (entry.incarnation, entry.state) > (known.incarnation, known.state)


def _bucket(id):
    return hashing.hash32(id) % BUCKETS
