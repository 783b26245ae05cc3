"""Stop calls that crash every target that runs them. No input or output.

Every call in flight when a target crashes becomes a suspect. A suspect is admitted to
a target only while nothing else runs there, so a crash during that run convicts it
beyond doubt and an answer clears it. Innocent calls are never convicted.
"""

import dataclasses

import xxhash

REMEMBERED_SECONDS = 600.0  # callers come back with the same call for minutes
ENTRIES_MAX = 4096  # about 1 MB


def fingerprint(request):
    """Return what two sends of the same request share."""
    digest = xxhash.xxh3_128()
    digest.update(request.method.encode())
    digest.update(request.target.encode())
    digest.update(request.body)
    return digest.hexdigest()


class Records:
    """Remember calls that were in flight as targets died, by their fingerprints.

    A record tells whether the call is ``blocked`` and when it was ``seen`` last. The
    oldest makes room for a new one. What convicts a call is up to those who build on
    this: ``Quarantine`` below and the proxy's ``crashing.Crashes``.
    """

    __slots__ = ("records",)

    def __init__(self):
        self.records = {}

    def blocked(self, fingerprint):
        """Tell whether a call is to be refused."""
        record = self.records.get(fingerprint)
        return record is not None and record.blocked

    def cleared(self, fingerprint):
        """Note that a call was answered; what was convicted stays so."""
        if fingerprint in self.records and not self.blocked(fingerprint):
            self._drop(fingerprint)

    def expire(self, now):
        """Forget old records."""
        limit = now - REMEMBERED_SECONDS
        for item in [k for k, record in self.records.items() if record.seen < limit]:
            self._drop(item)

    def _enter(self, fingerprint, record):
        if fingerprint not in self.records and len(self.records) >= ENTRIES_MAX:
            self._drop(next(iter(self.records)))
        self.records[fingerprint] = record

    def _drop(self, fingerprint):
        del self.records[fingerprint]


@dataclasses.dataclass(slots=True)
class Record:
    """Hold whether a fingerprint is convicted, and when it was noted last."""

    blocked: bool
    seen: float


class Quarantine(Records):
    """Remember suspects and convicted fingerprints for a while.

    ``pending`` counts for each record how often it was sent to other nodes.
    """

    __slots__ = ("pending",)

    def __init__(self):
        super().__init__()
        self.pending = {}

    def suspected(self, fingerprint):
        """Tell whether the call must run alone."""
        return fingerprint in self.records

    def note(self, fingerprint, blocked, now):
        """Note a suspect or a conviction; return whether it was news."""
        record = self.records.get(fingerprint)
        if record is not None and record.blocked >= blocked:
            return False
        self._enter(fingerprint, Record(blocked, now))
        self.pending[fingerprint] = 0
        return True

    def take_pending(self, limit, sends):
        """Return up to ``limit`` records that other nodes may not know yet.

        Each record is returned ``sends`` times in all.
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
