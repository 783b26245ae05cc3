"""Encode the reports of hosts to the allocator of quotas, and its answers."""

import dataclasses

import orjson

from lentilrouter.core import fields

REPORT_FIELDS = ("host", "process", "serial", "rows")
WANT_FIELDS = ("workspace", "demand", "rate", "capacity", "balance", "calls")
GRANT_FIELDS = ("workspace", "rate", "capacity", "calls")


@dataclasses.dataclass(slots=True, frozen=True)
class Want:
    """What a host needs and holds of one workspace's quota.

    ``demand`` is in calls a second, admitted or not. ``rate`` and ``capacity`` are the
    share that it holds, ``balance`` the calls in its bucket. It needs ``calls`` more.
    """

    workspace: str
    demand: float
    rate: float
    capacity: float
    balance: float
    calls: float


@dataclasses.dataclass(slots=True, frozen=True)
class Report:
    """Report of a host; ``serial`` rises with each report of one ``process``."""

    host: str
    process: str
    serial: int
    wants: tuple

    def encode(self):
        """Return the body of the report."""
        rows = [
            [
                want.workspace,
                round(want.demand, 2),
                want.rate,
                want.capacity,
                want.balance,
                want.calls,
            ]
            for want in self.wants
        ]
        return orjson.dumps([self.host, self.process, self.serial, rows])


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Share of one workspace for a term, and ``calls`` to add to its balance."""

    workspace: str
    rate: float
    capacity: float
    calls: float


def encode_grants(grants):
    """Return the body of an answer.

    >>> decode_grants(encode_grants([Grant("press", 2.0, 1.0, 3.0)]))
    (Grant(workspace='press', rate=2.0, capacity=1.0, calls=3.0),)
    """
    return orjson.dumps(
        [[each.workspace, each.rate, each.capacity, each.calls] for each in grants]
    )


def decode_report(body):
    """Return the ``Report`` in a body; raise ``ValueError`` if malformed."""
    report = fields.named(REPORT_FIELDS, orjson.loads(body))
    wants = []
    for row in report.rows("rows"):
        want = fields.named(WANT_FIELDS, row)
        wants.append(
            Want(
                want.text("workspace"),
                want.number("demand"),
                want.number("rate"),
                want.number("capacity"),
                want.number("balance"),
                want.number("calls"),
            )
        )
    return Report(
        report.text("host"),
        report.text("process"),
        report.integer("serial"),
        tuple(wants),
    )


def decode_grants(body):
    """Return the grants in a body; raise ``ValueError`` if malformed."""
    grants = []
    for row in fields.rows(orjson.loads(body), "grants"):
        grant = fields.named(GRANT_FIELDS, row)
        grants.append(
            Grant(
                grant.text("workspace"),
                grant.number("rate"),
                grant.number("capacity"),
                grant.number("calls"),
            )
        )
    return tuple(grants)
