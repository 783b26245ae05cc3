"""Say what one proxy tells another about a call, and how the other answers.

The call itself travels as it came. What the caller's proxy decided stands in one header
as a JSON array, and so does what the target's proxy answers.
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
    """Carry what the caller's proxy decided about a call.

    Times are seconds from now: ``left`` until the deadline, ``goal`` until an answer
    loses worth, ``max_wait`` the longest wait for a slot. ``reservation`` is the token
    of a slot that was kept for the call before.
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
    """Return the ``Hop`` in a header's value; raise ``ValueError`` if it is none."""
    fields = orjson.loads(value)
    if not isinstance(fields, list) or len(fields) != 10:
        raise ValueError("a hop has ten fields")
    return Hop(*fields)


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Tell how busy a target is."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """Report a call that the target's proxy or the target itself did not run.

    ``arrived`` tells that the target saw and rejected it.
    """

    outcome: outcomes.NotRun
    arrived: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Reserved:
    """Carry the token of a slot that is kept for a call for a moment."""

    token: str


TAGS = {
    outcomes.Answered: 0,
    Refused: 1,
    outcomes.Failed: 2,
    outcomes.Unknown: 3,
    Reserved: 4,
}
BAD_GATEWAY = 502


def encode_outcome(outcome, load):
    """Return the response that carries an outcome to the caller's proxy."""
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
    """Return outcome and ``Load`` from a response; raise ``ValueError`` if none."""
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
