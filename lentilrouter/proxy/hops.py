"""Encode calls between two proxies: the hop header of the request and the response.

A call is forwarded to the target's proxy as an HTTP request. One header has the
decisions of the caller's proxy as a JSON array. The same header of the response has the
outcome of the call and the load of the target.
"""

import dataclasses

import orjson

from lentilrouter.core import fields, outcomes
from lentilrouter.datapath import messages

HEADER = b"lentilrouter-hop"
PATH_PREFIX = "/lentilrouter/"
RESERVE_PATH = PATH_PREFIX + "place"
TARGET_PATH = PATH_PREFIX + "target"
SECONDS_MAX = 1e6  # of the times in a hop header
HOP_FIELDS = (
    "target",
    "kind",
    "left",
    "goal",
    "max_wait",
    "rank",
    "safe",
    "caller",
    "suspect",
    "reservation",
    "workspace",
)
ORDER_FIELDS = ("returned", "nested")  # follow if one of them is set
OUTCOME_FIELDS = ("tag", "running", "waiting", "slots", "seconds", "note")
WORK_FIELDS = (
    "work",
    "work_age",
    "domain_load",
)  # follow if the target reports its work time


@dataclasses.dataclass(slots=True)
class Hop:
    """Hop header of a call: the decisions of the caller's proxy.

    ``target`` is the id of the target, ``kind`` the name of the call's route,
    ``caller`` the service of the caller. Times are in seconds from now: ``left`` until
    the deadline, ``goal`` until the latency goal. ``max_wait`` is the longest expected
    wait for a slot that the call accepts. A call with a lower ``rank`` goes first. A
    call that is ``safe`` may run twice; a suspected call, with ``suspect``, runs alone.
    ``reservation`` is the token of a slot reserved for the call, empty for none.
    ``workspace`` is the name of the caller's workspace, empty for none. A call that is
    ``returned`` was refused before and goes before new ones of its rank. One that is
    ``nested`` was made by a target for a call that waits there, as far as can be told.
    """

    target: str
    kind: str
    left: float
    goal: float
    max_wait: float
    rank: int
    safe: bool
    caller: str
    suspect: bool = False
    reservation: str = ""
    workspace: str = ""
    returned: bool = False
    nested: bool = False

    def encode(self):
        """Return the header's value."""
        values = [
            self.target,
            self.kind,
            round(self.left, 4),
            round(self.goal, 4),
            round(self.max_wait, 4),
            self.rank,
            self.safe,
            self.caller,
            self.suspect,
            self.reservation,
            self.workspace,
        ]
        if self.returned or self.nested:
            values += [self.returned, self.nested]
        return orjson.dumps(values)


def decode(value):
    """Return the ``Hop`` in a header's value; raise ``ValueError`` if malformed."""
    values = orjson.loads(value)
    names = HOP_FIELDS
    if isinstance(values, list) and len(values) > len(names):
        names += ORDER_FIELDS
    hop = fields.named(names, values)
    return Hop(
        target=hop.text("target"),
        kind=hop.text("kind"),
        left=hop.number("left", -SECONDS_MAX, SECONDS_MAX),
        goal=hop.number("goal", -SECONDS_MAX, SECONDS_MAX),
        max_wait=hop.number("max_wait", -SECONDS_MAX, SECONDS_MAX),
        rank=hop.integer("rank"),
        safe=hop.flag("safe"),
        caller=hop.text("caller"),
        suspect=hop.flag("suspect"),
        reservation=hop.text("reservation", empty=True),
        workspace=hop.text("workspace", empty=True),
        returned=hop.flag("returned", default=False),
        nested=hop.flag("nested", default=False),
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Load of a target: calls that run, calls that wait for a slot, and its slots.

    ``work`` is the work time on its host as a multiple of the usual one, reported
    ``work_age`` seconds ago; 0.0 if the target does not report it. ``domain_load`` is
    the mean load of the service's targets in the domain, in calls per slot, as the
    target's proxy knows it; 0.0 if it does not.
    """

    running: int
    waiting: int
    slots: int
    work: float = 0.0
    work_age: float = 0.0
    domain_load: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Outcome: the target's proxy or the target itself refused to run the call.

    ``arrived`` is true if the target received the call and rejected it.
    """

    outcome: outcomes.NotRun
    arrived: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Reserved:
    """Outcome: a slot is reserved for a short time under this token."""

    token: str


# Codes of the outcomes in the hop header of a response.
TAGS = {
    outcomes.Answered: 0,
    Refused: 1,
    outcomes.Failed: 2,
    outcomes.Unknown: 3,
    Reserved: 4,
}
BAD_GATEWAY = 502


def encode_outcome(outcome, load):
    """Return the response to the caller's proxy for an outcome and a ``Load``.

    Its status is that of the target's response, ``BAD_GATEWAY`` for other outcomes.
    """
    tag = TAGS[type(outcome)]
    status, headers, body, note, seconds = BAD_GATEWAY, [], b"", "", 0.0
    if isinstance(outcome, outcomes.Answered):
        response = outcome.response
        status, headers, body = response.status, response.headers, response.body
        seconds = outcome.run_seconds
    elif isinstance(outcome, Reserved):
        note = outcome.token
    elif isinstance(outcome, Refused):
        note = [outcome.outcome.reason, outcome.outcome.detail, outcome.arrived]
    else:
        note = [outcome.detail, outcome.crashed]
    line = [tag, load.running, load.waiting, load.slots, round(seconds, 4), note]
    if load.work:
        line += [round(load.work, 3), round(load.work_age, 3)]
        line.append(round(load.domain_load, 3))
    header = (HEADER, orjson.dumps(line))
    return messages.Response(status, [*headers, header], body)


def decode_outcome(response, target):
    """Return the outcome and the ``Load`` in a response of another proxy.

    Raise ``ValueError`` if the response has no hop header or a malformed one.
    """
    line = None
    headers = []
    for name, value in response.headers:
        if name == HEADER:
            line = value
        elif name not in messages.HOP_BY_HOP:
            headers.append((name, value))
    if line is None:
        raise ValueError("the answer has no hop header")
    values = orjson.loads(line)
    names = OUTCOME_FIELDS
    if isinstance(values, list) and len(values) > len(names):
        names += WORK_FIELDS
    sent = fields.named(names, values)
    tag = sent.integer("tag")
    load = Load(
        sent.integer("running"),
        sent.integer("waiting"),
        sent.integer("slots", low=1),
        work=sent.number("work", high=SECONDS_MAX, default=0.0),
        work_age=sent.number("work_age", high=SECONDS_MAX, default=0.0),
        domain_load=sent.number("domain_load", high=SECONDS_MAX, default=0.0),
    )
    note = sent.values["note"]
    if tag == TAGS[outcomes.Answered]:
        passed = messages.Response(response.status, headers, response.body)
        seconds = sent.number("seconds")
        return outcomes.Answered(passed, target, seconds), load
    if tag == TAGS[Refused]:
        refusal = fields.named(("reason", "detail", "arrived"), note)
        reason = outcomes.Reason(refusal.text("reason"))
        not_run = outcomes.NotRun(reason, refusal.text("detail", empty=True))
        return Refused(not_run, refusal.flag("arrived")), load
    if tag == TAGS[Reserved]:
        return Reserved(fields.text(note, "token")), load
    kind = outcomes.Failed if tag == TAGS[outcomes.Failed] else outcomes.Unknown
    ended = fields.named(("detail", "crashed"), note)
    detail, crashed = ended.text("detail", empty=True), ended.flag("crashed")
    return kind(detail, crashed=crashed, target=target), load
