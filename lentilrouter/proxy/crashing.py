"""Block calls that crash the targets that run them. Does no I/O.

Any call in flight when a target dies may or may not be the cause. A call with the same
bytes that was in flight when three targets died, and was not answered in between, is
refused from then on. A call that was answered since is not the cause.
"""

import dataclasses

from lentilrouter.routing import quarantine

CRASHES_MAX = 3  # targets that die before a call is refused


@dataclasses.dataclass(slots=True)
class Record:
    """Target incarnations that died with a call in flight, last at ``seen``."""

    targets: set
    seen: float

    @property
    def blocked(self):
        """Return whether the call is refused."""
        return len(self.targets) >= CRASHES_MAX


class Crashes(quarantine.Records):
    """Records of calls that were in flight when targets died.

    >>> crashes = Crashes()
    >>> [crashes.note("f", target, now=1.0) for target in ("a", "b", "b", "c")]
    [True, True, False, True]
    >>> crashes.blocked("f")
    True
    """

    __slots__ = ()

    def note(self, fingerprint, target, now):
        """Record that a target died with a call in flight.

        Return whether anything changed.
        """
        record = self.records.get(fingerprint)
        if record is None:
            record = Record(set(), now)
            self._add(fingerprint, record)
        if target in record.targets:
            return False
        record.targets.add(target)
        record.seen = now
        return True

    def merge(self, fingerprint, targets, seen):
        """Add what another proxy or the store knows of a call.

        ``seen`` is the time of the last death, in monotonic seconds.
        """
        record = self.records.get(fingerprint)
        if record is None:
            record = Record(set(), seen)
            self._add(fingerprint, record)
        record.targets.update(targets)
        record.seen = max(record.seen, seen)

    def is_blocked(self, request):
        """Return whether a request is refused."""
        return bool(self.records) and self.blocked(quarantine.fingerprint(request))

    def clear_call(self, request):
        """Drop the record of a request that was answered, unless it is blocked."""
        if self.records:
            self.cleared(quarantine.fingerprint(request))
