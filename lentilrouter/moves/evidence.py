"""Count the calls, failures and latencies of each version while a move runs.

This module does no I/O.
"""

import bisect
import dataclasses

from lentilrouter.core import fields

# Upper bounds of the buckets of a latency histogram.
LATENCY_BOUNDS_MS = (
    1, 2, 3, 5, 7, 10, 14, 20, 28, 40, 56, 80, 113, 160, 226, 320, 453, 640, 905,
    1280, 1810, 2560, 3620, 5120, 10240,
)  # fmt: skip
REPORT_MAX_AGE_SECONDS = 5.0  # of a child's report


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the calls of one version on one route.

    ``latency`` is a histogram with one bucket for each bound of ``LATENCY_BOUNDS_MS``
    and one for longer times; failed calls are not in it.
    """

    calls: int = 0
    failures: int = 0
    latency: list = dataclasses.field(
        default_factory=lambda: [0] * (len(LATENCY_BOUNDS_MS) + 1)
    )

    def note(self, failed, seconds):
        """Count one call; ``seconds`` is its latency, ignored if it ``failed``."""
        self.calls += 1
        if failed:
            self.failures += 1
        else:
            self.latency[bisect.bisect_left(LATENCY_BOUNDS_MS, seconds * 1000)] += 1

    def add(self, other):
        """Add the counts of another tally to this one."""
        self.calls += other.calls
        self.failures += other.failures
        for index, count in enumerate(other.latency):
            self.latency[index] += count

    def minus(self, earlier):
        """Return the counts added since ``earlier``, an older tally of the same calls.

        No count is below 0.
        """
        buckets = zip(self.latency, earlier.latency, strict=True)
        return Tally(
            max(0, self.calls - earlier.calls),
            max(0, self.failures - earlier.failures),
            [max(0, now - then) for now, then in buckets],
        )

    def as_json(self):
        """Return a compact JSON array: calls, failures and non-empty buckets.

        The buckets are ``[index, count]`` pairs.
        """
        buckets = [[i, n] for i, n in enumerate(self.latency) if n]
        return [self.calls, self.failures, buckets]

    @classmethod
    def from_json(cls, item):
        """Return the tally encoded by :meth:`as_json`.

        Raise ``ValueError`` if it is malformed.
        """
        row = fields.named(("calls", "failures", "buckets"), item)
        tally = cls(row.integer("calls"), row.integer("failures"))
        for pair in row.rows("buckets"):
            bucket = fields.named(("index", "count"), pair)
            index = bucket.integer("index", high=len(LATENCY_BOUNDS_MS))
            tally.latency[index] = bucket.integer("count")
        return tally


class Evidence:
    """Tallies by ``(version, route)``.

    >>> evidence = Evidence()
    >>> evidence.note("v2", "* /credit", failed=True, seconds=0.0)
    >>> evidence.tally("v2", "* /credit").failures
    1
    """

    __slots__ = ("tallies",)

    def __init__(self):
        self.tallies = {}

    def note(self, version, route, failed, seconds):
        """Count one call; ``seconds`` is its latency, ignored if it ``failed``."""
        self.get_or_create(version, route).note(failed, seconds)

    def get_or_create(self, version, route):
        """Return the stored tally of a version on a route, created if there is none."""
        return self.tallies.setdefault((version, route), Tally())

    def tally(self, version, route):
        """Return the tally of a version on a route.

        If there is none, return an empty one that is not stored.
        """
        return self.tallies.get((version, route)) or Tally()

    def routes(self):
        """Return the keys of all routes with a tally, sorted."""
        return sorted({route for _, route in self.tallies})

    def add(self, other):
        """Add all tallies of other evidence."""
        for (version, route), tally in other.tallies.items():
            self.get_or_create(version, route).add(tally)

    def as_json(self):
        """Return a JSON-compatible list."""
        return [[v, r, tally.as_json()] for (v, r), tally in self.tallies.items()]

    @classmethod
    def from_json(cls, items):
        """Return the evidence encoded by :meth:`as_json`.

        Raise ``ValueError`` if it is malformed.
        """
        evidence = cls()
        for item in fields.rows(items, "evidence"):
            row = fields.named(("version", "route", "tally"), item)
            key = (row.text("version"), row.text("route"))
            evidence.tallies[key] = Tally.from_json(row.rows("tally"))
        return evidence


@dataclasses.dataclass(slots=True)
class Report:
    """The newest evidence of a child; ``received_at`` is in monotonic seconds."""

    evidence: Evidence
    received_at: float


class Collector:
    """The evidence of each move, from this node and its children.

    A child's report replaces its earlier one, so a repeated message counts once. A
    report older than ``REPORT_MAX_AGE_SECONDS`` is left out of the sum, because the
    child may report to another node by then.
    """

    __slots__ = ("own", "reports")

    def __init__(self):
        self.own = {}
        self.reports = {}

    def note(self, move_id, version, route, failed, seconds):
        """Count one call that this node made."""
        evidence = self.own.setdefault(move_id, Evidence())
        evidence.note(version, route, failed, seconds)

    def report(self, child, move_id, evidence, now):
        """Store the sum that a child sent, in place of its earlier one."""
        self.reports[(move_id, child)] = Report(evidence, now)

    def total(self, move_id, now):
        """Return the summed evidence of a move, empty if there is none."""
        total = Evidence()
        if move_id in self.own:
            total.add(self.own[move_id])
        for (id, _), report in self.reports.items():
            if id == move_id and now - report.received_at <= REPORT_MAX_AGE_SECONDS:
                total.add(report.evidence)
        return total

    def keep_only(self, move_ids):
        """Drop the evidence of all moves except ``move_ids``."""
        for id in [id for id in self.own if id not in move_ids]:
            del self.own[id]
        for key in [key for key in self.reports if key[0] not in move_ids]:
            del self.reports[key]


def parent_of(self_id, root_id, ids, fanout):
    """Return the id of the node that ``self_id`` reports to, or ``None`` for the root.

    The nodes form a tree below ``root_id`` in which each has up to ``fanout`` children.
    Raise ``ValueError`` if ``self_id`` is not in ``ids``.

    >>> parent_of("c", "a", ["a", "b", "c", "d"], 2)
    'a'
    >>> parent_of("d", "a", ["a", "b", "c", "d"], 2)
    'b'
    """
    if self_id == root_id:
        return None
    ordered = [root_id, *sorted(id for id in ids if id != root_id)]
    index = ordered.index(self_id)
    return ordered[(index - 1) // fanout]
