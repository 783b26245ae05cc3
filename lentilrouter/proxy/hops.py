"""Encode calls between two proxies: the hop header of the request and the response.

A call is forwarded to the target's proxy as an HTTP request. One header has the
decisions of the caller's proxy as a JSON array. The same header of the response has the
outcome of the call and the load of the target.
"""

import dataclasses

import orjson

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages

HEADER = b"lentilrouter-hop"
PATH_PREFIX = "/lentilrouter/"
RESERVE_PATH = PATH_PREFIX + "place"
TARGET_PATH = PATH_PREFIX + "target"


@dataclasses.dataclass(slots=True)
class Hop:
    """Hop header of a call: the decisions of the caller's proxy.

    ``target`` is the id of the target, ``kind`` the name of the call's route,
    ``caller`` the service of the caller. Times are in seconds from now: ``left`` until
    the deadline, ``goal`` until the latency goal. ``max_wait`` is the longest expected
    wait for a slot that the call accepts. A call with a lower ``rank`` goes first. A
    call that is ``safe`` may run twice; a suspected call, with ``suspect``, runs alone.
    ``reservation`` is the token of a slot reserved for the call, empty for none.
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

    def encode(self):
        """Return the header's value."""
        return orjson.dumps(
            [
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
            ]
        )


def decode(value):
    """Return the ``Hop`` in a header's value; raise ``ValueError`` if malformed."""
    fields = orjson.loads(value)
    if not isinstance(fields, list) or len(fields) != 10:
        raise ValueError("hop header must be an array of ten fields")
    return Hop(*fields)


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Load of a target: calls that run, calls that wait for a slot, and its slots."""

    running: int
    waiting: int
    slots: int


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
    line = orjson.dumps(
        [tag, load.running, load.waiting, load.slots, round(seconds, 4), note]
    )
    return messages.Response(status, [*headers, (HEADER, line)], body)


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
    tag, running, waiting, slots, seconds, note = orjson.loads(line)
    load = Load(running, waiting, slots)
    if tag == 0:
        passed = messages.Response(response.status, headers, response.body)
        return outcomes.Answered(passed, target, seconds), load
    if tag == 1:
        reason, detail, arrived = note
        refusal = outcomes.NotRun(outcomes.Reason(reason), detail)
        return Refused(refusal, arrived), load
    if tag == 4:
        return Reserved(note), load
    kind = outcomes.Failed if tag == 2 else outcomes.Unknown
    return kind(note[0], crashed=note[1], target=target), load
