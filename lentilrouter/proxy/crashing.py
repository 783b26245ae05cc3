"""Stop calls that crash the targets that run them. No input or output.

Any call in flight when a target dies may be the cause or stand beside it. A call with
the same bytes that was in flight at the death of three targets, and never answered in
between, is refused from then on. One that was answered since is no cause.
"""

import dataclasses

from lentilrouter.routing import quarantine

CRASHES_MAX = 3  # targets that a call may take down before it is refused


@dataclasses.dataclass(slots=True)
class Record:
    """Hold which incarnations of targets died with a call in flight, and when last."""

    targets: set
    seen: float

    @property
    def blocked(self):
        """Tell whether the call is to be refused."""
        return len(self.targets) >= CRASHES_MAX


class Crashes(quarantine.Records):
    """Remember calls by the targets that died with them in flight.

    >>> crashes = Crashes()
    >>> [crashes.note("f", target, now=1.0) for target in ("a", "b", "b", "c")]
    [True, True, False, True]
    >>> crashes.blocked("f")
    True
    """

    __slots__ = ()

    def note(self, fingerprint, target, now):
        """Note that a target died with a call in flight; return if that is news."""
        record = self.records.get(fingerprint)
        if record is None:
            record = Record(set(), now)
            self._add(fingerprint, record)
        if target in record.targets:
            return False
        record.targets.add(target)
        record.seen = now
        return True

    def is_blocked(self, request):
        """Tell whether a request is to be refused."""
        return bool(self.records) and self.blocked(quarantine.fingerprint(request))

    def clear_call(self, request):
        """Note that a request was answered."""
        if self.records:
            self.cleared(quarantine.fingerprint(request))
