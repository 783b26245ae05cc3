"""Stop calls that crash the targets that run them. No input or output.

Any call in flight when a target dies may be the cause or stand beside it. A call with
the same bytes that was in flight at the death of three targets, and never answered in
between, is refused from then on. One that was answered since is no cause.
"""

import dataclasses

from lentilrouter.routing import quarantine

CRASHES_MAX = 3  # targets that a call may take down before it is refused
REMEMBERED_SECONDS = 600.0  # callers come back with the same call for minutes
ENTRIES_MAX = 4096  # about 1 MB


@dataclasses.dataclass(slots=True)
class Record:
    """Hold which incarnations of targets died with a call in flight, and when last."""

    targets: set
    seen: float


class Crashes:
    """Remember calls by their fingerprints.

    >>> crashes = Crashes()
    >>> [crashes.note("f", target, now=1.0) for target in ("a", "b", "b", "c")]
    [True, True, False, True]
    >>> crashes.convicted("f")
    True
    """

    __slots__ = ("records",)

    def __init__(self):
        self.records = {}

    def note(self, fingerprint, target, now):
        """Note that a target died with a call in flight; return if that is news."""
        record = self.records.get(fingerprint)
        if record is None:
            if len(self.records) >= ENTRIES_MAX:
                del self.records[next(iter(self.records))]
            record = self.records[fingerprint] = Record(set(), now)
        if target in record.targets:
            return False
        record.targets.add(target)
        record.seen = now
        return True

    def convicted(self, fingerprint):
        """Tell whether a call is to be refused."""
        record = self.records.get(fingerprint)
        return record is not None and len(record.targets) >= CRASHES_MAX

    def convicted_call(self, request):
        """Tell whether a request is to be refused."""
        return bool(self.records) and self.convicted(quarantine.fingerprint(request))

    def cleared_call(self, request):
        """Note that a request was answered."""
        if self.records:
            self.cleared(quarantine.fingerprint(request))

    def cleared(self, fingerprint):
        """Note that a call was answered; what was convicted stays so."""
        if fingerprint in self.records and not self.convicted(fingerprint):
            del self.records[fingerprint]

    def expire(self, now):
        """Forget old records."""
        limit = now - REMEMBERED_SECONDS
        for item in [key for key, rec in self.records.items() if rec.seen < limit]:
            del self.records[item]
