"""Run a request with an id at most once on this node. Does no I/O.

Records are kept in memory only, so they are lost with the process. A resend reaches
the same record while the set of targets of the version stays the same, because a
call with an id always goes to the target that its id selects.
"""

import collections
import dataclasses

from lentilrouter.core import hashing

RETENTION_SECONDS = 600.0  # from the start of the request
ENTRIES_MAX = 20_000  # records
RESPONSE_MAX_BYTES = 64 * 1024  # a larger response is not stored
RESPONSES_MAX_BYTES = 16 * 1024 * 1024  # of all stored responses


@dataclasses.dataclass(slots=True)
class Record:
    """A request that runs or ran; ``outcome`` is ``None`` while it runs.

    ``started_at`` is in monotonic seconds, ``size`` the bytes of the stored response.
    """

    fingerprint: str
    started_at: float
    outcome: object = None
    size: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class First:
    """Result: the id is new."""


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """Result: the same request is running."""


@dataclasses.dataclass(slots=True, frozen=True)
class Ended:
    """Result: the same request ended earlier, with this outcome."""

    outcome: object


@dataclasses.dataclass(slots=True, frozen=True)
class Mismatch:
    """Result: the id belongs to a different request."""


class Duplicates:
    """Records of requests that are not idempotent, by their ids."""

    __slots__ = ("records", "response_bytes")

    def __init__(self):
        self.records = collections.OrderedDict()
        self.response_bytes = 0

    def begin(self, id, fingerprint, now):
        """Return ``First``, ``Running``, ``Ended`` or ``Mismatch`` for a request.

        A new id is recorded as running. ``fingerprint`` tells different requests with
        one id apart; ``now`` is in monotonic seconds.
        """
        self._evict(now)
        record = self.records.get(id)
        if record is None:
            self.records[id] = Record(fingerprint, now)
            return First()
        if record.fingerprint != fingerprint:
            return Mismatch()
        return Running() if record.outcome is None else Ended(record.outcome)

    def not_run(self, id):
        """Remove the record of a request that was provably not run."""
        self.records.pop(id, None)

    def ended(self, id, outcome, size):
        """Store the outcome of a request; ``size`` is that of its response in bytes.

        Do nothing if the record was removed.
        """
        record = self.records.get(id)
        if record is not None:
            record.outcome = outcome
            record.size = size
            self.response_bytes += size

    def _evict(self, now):
        """Remove old records, and the oldest ones while a limit is reached.

        A request that still runs is kept, and with it all that started later.
        """
        while self.records:
            id, record = next(iter(self.records.items()))
            old = record.started_at < now - RETENTION_SECONDS
            full = (
                len(self.records) >= ENTRIES_MAX
                or self.response_bytes > RESPONSES_MAX_BYTES
            )
            if record.outcome is None or not (old or full):
                return
            del self.records[id]
            self.response_bytes -= record.size


def select_target(id, targets):
    """Return the target that an id selects by rendezvous hashing.

    Every node selects the same target from the same set. Raise ``ValueError`` if there
    are no targets.

    >>> targets = ["a", "b", "c"]
    >>> select_target("p-1", targets) == select_target("p-1", ["c", "a", "b"])
    True
    """
    return max(targets, key=lambda target: hashing.hash64(f"{id} {target}"))
