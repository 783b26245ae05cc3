"""Refuse calls that crash every target that runs them. Does no I/O.

Every call in flight when a target crashes becomes suspected. A suspected call is
admitted to a target only while nothing else runs there. A crash during that run is
therefore certainly caused by the call, which is blocked; a response clears it. A call
that causes no crash is never blocked.
"""

import dataclasses

import xxhash

RETENTION_SECONDS = 600.0  # callers repeat the same call for minutes
ENTRIES_MAX = 4096  # about 1 MB of memory


def fingerprint(request):
    """Return a hexadecimal digest of a request's method, target and body.

    All attempts of the same request have the same digest.
    """
    digest = xxhash.xxh3_128()
    digest.update(request.method.encode())
    digest.update(request.target.encode())
    digest.update(request.body)
    return digest.hexdigest()


class Records:
    """Calls that were in flight when targets died, by their fingerprints.

    A record has the attributes ``blocked``, whether the call is refused, and ``seen``,
    when the record last changed. At ``ENTRIES_MAX`` the oldest record is dropped for a
    new one. The classes built on this decide what blocks a call: ``Quarantine`` below
    and the proxy's ``crashing.Crashes``.
    """

    __slots__ = ("records",)

    def __init__(self):
        self.records = {}

    def blocked(self, fingerprint):
        """Return whether calls with this fingerprint are refused."""
        record = self.records.get(fingerprint)
        return record is not None and record.blocked

    def cleared(self, fingerprint):
        """Remove the record of a call that was answered, unless it is blocked."""
        if fingerprint in self.records and not self.blocked(fingerprint):
            self._drop(fingerprint)

    def expire(self, now):
        """Remove records that did not change in the last ``RETENTION_SECONDS``."""
        limit = now - RETENTION_SECONDS
        for item in [k for k, record in self.records.items() if record.seen < limit]:
            self._drop(item)

    def _add(self, fingerprint, record):
        if fingerprint not in self.records and len(self.records) >= ENTRIES_MAX:
            self._drop(next(iter(self.records)))
        self.records[fingerprint] = record

    def _drop(self, fingerprint):
        del self.records[fingerprint]


@dataclasses.dataclass(slots=True)
class Record:
    """Whether a fingerprint is blocked, and when the record last changed."""

    blocked: bool
    seen: float


class Quarantine(Records):
    """Records of suspected and blocked calls, to be shared with other nodes.

    ``pending`` counts, for each record still to be sent to other nodes, how often it
    was sent.
    """

    __slots__ = ("pending",)

    def __init__(self):
        super().__init__()
        self.pending = {}

    def suspected(self, fingerprint):
        """Return whether the call must run alone."""
        return fingerprint in self.records

    def note(self, fingerprint, blocked, now):
        """Record a suspected or ``blocked`` call; return whether anything changed.

        A blocked call stays blocked.
        """
        record = self.records.get(fingerprint)
        if record is not None and record.blocked >= blocked:
            return False
        self._add(fingerprint, Record(blocked, now))
        self.pending[fingerprint] = 0
        return True

    def take_pending(self, limit, sends):
        """Return up to ``limit`` pairs of fingerprint and ``blocked`` for other nodes.

        Each record is returned ``sends`` times in all, least sent records first.
        """
        chosen = sorted(self.pending, key=self.pending.get)[:limit]
        for item in chosen:
            self.pending[item] += 1
            if self.pending[item] >= sends:
                del self.pending[item]
        return [(item, self.records[item].blocked) for item in chosen]

    def _drop(self, fingerprint):
        super()._drop(fingerprint)
        self.pending.pop(fingerprint, None)
