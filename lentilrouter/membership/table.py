"""Merge what nodes report of each other; decide who is alive. Does no I/O.

The protocol is that of SWIM: a node that does not respond is suspected, and declared
dead unless it refutes the suspicion in time.
"""

import dataclasses
import math
import textwrap

from lentilrouter.core import hashing
from lentilrouter.membership import index as members_index
from lentilrouter.membership import member

BUCKETS = 512  # parts of the table that are compared by digests
DIGEST_MASK = 0xFFFF  # the digest of a bucket has 16 bits, 4 hexadecimal digits
MIN_SENDS = 4  # of one update, in a small mesh
SENDS_PER_DOUBLING = 2  # of one update, for each doubling of the node count
REPORTED_SUSPICION_FACTOR = 3  # on the timeout of suspects reported by others


@dataclasses.dataclass(slots=True)
class Rumor:
    """An update to send to other nodes; ``sent`` counts how often it was sent."""

    sent: int = 0


class Table:
    """Every known node, this one included.

    All times are seconds of a clock that the caller passes in as ``now``.
    ``state_since`` has the time at which each node that is not alive entered its state,
    ``own_suspects`` the nodes that this one suspects by its own exchanges. The
    ``listener`` is called without arguments whenever an entry was changed.
    """

    __slots__ = (
        "self_id",
        "settings",
        "members",
        "state_since",
        "own_suspects",
        "rumors",
        "buckets",
        "index",
        "listener",
    )

    def __init__(self, me, settings):
        self.self_id = me.id
        self.settings = settings
        self.members = {}
        self.state_since = {}
        self.own_suspects = set()
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
        """Change the own entry and spread it with a higher incarnation."""
        incarnation = self.me.incarnation + 1
        entry = dataclasses.replace(self.me, incarnation=incarnation, **changes)
        self._store(entry, now)

    def merge(self, entry, now):
        """Apply an entry that another node sent; return whether anything changed.

        A node that is dead or has left is ignored if it is not known. A wrong entry of
        this node is refuted.
        """
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
        """Raise the own incarnation if ``entry`` would supersede the own entry.

        Return whether anything changed.
        """
        if entry.incarnation < self.me.incarnation:
            return False
        if entry == self.me:
            return False
        incarnation = entry.incarnation + 1
        self._store(dataclasses.replace(self.me, incarnation=incarnation), now)
        return True

    def suspect(self, id, now):
        """Suspect a node that did not respond; return whether anything changed."""
        known = self.members.get(id)
        if known is None or known.state is not member.State.ALIVE:
            return False
        self._store(dataclasses.replace(known, state=member.State.SUSPECT), now)
        self.own_suspects.add(id)
        return True

    def expire(self, now):
        """Declare suspects dead after their timeout, and remove old entries.

        A node that is dead or has left is removed after ``forget_seconds``.
        """
        limits = self.settings.membership
        for id, since in list(self.state_since.items()):
            entry = self.members[id]
            age = now - since
            if entry.state is member.State.SUSPECT and age >= self._suspicion_timeout(
                id
            ):
                self._store(dataclasses.replace(entry, state=member.State.DEAD), now)
            elif entry.state >= member.State.DEAD and age >= limits.forget_seconds:
                self._forget(id)

    def _suspicion_timeout(self, id):
        """Return the seconds until a suspect is declared dead.

        The time is longer where another node reported the suspicion: a node that
        suspects by its own exchanges probes the suspect again meanwhile; the others
        wait for the result.
        """
        seconds = self.settings.membership.suspect_seconds
        return (
            seconds if id in self.own_suspects else REPORTED_SUSPICION_FACTOR * seconds
        )

    def updates(self, limit, receiver=None):
        """Return up to ``limit`` entries to send, least sent first.

        The entry of ``receiver`` is added unless it is alive, so that a node which is
        wrongly regarded as dead learns of it and refutes.
        """
        chosen = sorted(self.rumors, key=lambda id: self.rumors[id].sent)[:limit]
        most = self.sends_per_rumor()
        for id in chosen:
            self.rumors[id].sent += 1
            if self.rumors[id].sent >= most:
                del self.rumors[id]
        entry = self.members.get(receiver)
        if entry is not None and entry.state is not member.State.ALIVE:
            chosen = [*chosen, receiver] if receiver not in chosen else chosen
        return [self.members[id] for id in chosen]

    def sends_per_rumor(self):
        """Return how often one update is sent; it grows with the logarithm of size."""
        doublings = math.ceil(math.log2(len(self.members) + 1))
        return max(MIN_SENDS, SENDS_PER_DOUBLING * doublings)

    def in_state(self, state, domain=None):
        """Return the other nodes in a state, of one failure domain or of all."""
        return self.index.in_state(state, domain)

    def alive(self, domain=None):
        """Return the other nodes that are alive, of one failure domain or of all."""
        return self.in_state(member.State.ALIVE, domain)

    def domains(self):
        """Return the names of all known failure domains, sorted."""
        return sorted({*self.index.domains(), self.me.domain})

    def holders(self, duty):
        """Return the usable nodes that announce a duty."""
        return self.index.holders(duty)

    def targets(self, service):
        """Return the ``(target, member)`` pairs of a service that may be sent calls."""
        return self.index.targets(service)

    def digest(self):
        """Return a short digest of the whole table, as hexadecimal text."""
        return f"{hashing.hash64(self.bucket_digests()):016x}"

    def bucket_digests(self):
        """Return the digests of all buckets as one hexadecimal text."""
        return "".join(f"{value:04x}" for value in self.buckets)

    def entries_differing(self, other_digests, limit):
        """Return up to ``limit`` entries of buckets that differ from ``other_digests``.

        Raise ``ValueError`` if that text does not have the same number of buckets.
        """
        width = 4
        own = textwrap.wrap(self.bucket_digests(), width)
        other = textwrap.wrap(other_digests, width)
        both = enumerate(zip(own, other, strict=True))
        differing = {index for index, (mine, theirs) in both if mine != theirs}
        chosen = [e for e in self.members.values() if _bucket(e.id) in differing]
        return chosen[:limit]

    def _store(self, entry, now):
        """Store an entry and queue it for sending."""
        known = self.members.get(entry.id)
        self.own_suspects.discard(entry.id)
        if known is not None:
            self._toggle_digest(known)
            self.index.remove(known)
        self.members[entry.id] = entry
        self._toggle_digest(entry)
        self.index.add(entry, grouped=entry.id != self.self_id)
        self.rumors[entry.id] = Rumor()
        if entry.state is member.State.ALIVE:
            self.state_since.pop(entry.id, None)
        else:
            self.state_since[entry.id] = now
        if self.listener is not None:
            self.listener()

    def _forget(self, id):
        entry = self.members.pop(id)
        self._toggle_digest(entry)
        self.index.remove(entry)
        self.state_since.pop(id, None)
        self.rumors.pop(id, None)

    def _toggle_digest(self, entry):
        """Add an entry to the digest of its bucket, or remove it again."""
        text = f"{entry.id} {entry.incarnation} {int(entry.state)}"
        self.buckets[_bucket(entry.id)] ^= hashing.hash64(text) & DIGEST_MASK


def _supersedes(entry, known):
    return (entry.incarnation, entry.state) > (known.incarnation, known.state)


def _bucket(id):
    return hashing.hash32(id) % BUCKETS
