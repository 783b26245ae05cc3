"""Define and encode the question how a call would be routed, and its answer.

Neither has a field for a workspace's key or its digest.
"""

import dataclasses
import urllib.parse

import orjson

PATH = "/explain/route"  # below the metrics address
QUESTION_FIELDS = ("method", "url", "host", "workspace")


@dataclasses.dataclass(slots=True, frozen=True)
class Question:
    """Question about a call.

    ``url`` is a URL or the path of one. ``host`` replaces the host name in it, if it is
    not empty. ``workspace`` is the name of the caller's workspace, empty for none.
    """

    method: str
    url: str
    host: str = ""
    workspace: str = ""

    def encode(self):
        """Return the request target that asks it."""
        return f"{PATH}?{urllib.parse.urlencode(dataclasses.asdict(self))}"


def decode_question(target):
    """Return the ``Question`` in a request target.

    Raise ``ValueError`` if a field is missing, unknown or given twice.

    >>> question = Question("GET", "http://a.example/x/?y=1", workspace="press")
    >>> decode_question(question.encode()) == question
    True
    """
    pairs = urllib.parse.parse_qsl(
        target.partition("?")[2], keep_blank_values=True, max_num_fields=8
    )
    values = dict(pairs)
    if len(values) != len(pairs) or not values.keys() <= set(QUESTION_FIELDS):
        raise ValueError("a field of the question is unknown or given twice")
    if not values.get("method") or not values.get("url"):
        raise ValueError("method and URL are needed")
    return Question(**values)


@dataclasses.dataclass(slots=True, frozen=True)
class Quota:
    """What the proxy holds of a workspace's quota.

    ``per_second`` and ``burst`` are those of all hosts together. ``share`` is the calls
    a second that the proxy holds, ``balance`` the calls that it may admit now,
    ``demand`` the calls a second that it was asked for. The last three are 0.0 if no
    call of the workspace came here lately.
    """

    per_second: float
    burst: float
    share: float
    balance: float
    demand: float


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A target that the call may be sent to.

    ``wait``, ``work``, ``network`` and ``failing`` are estimated seconds, ``cost`` the
    delay that the bytes of the call are worth, and ``seconds`` the sum. ``age`` is the
    age of the last report of the target in seconds, ``None`` if there was none.
    ``score`` is the one of the choice by loads, ``None`` if that does not apply or did
    not look at the target. ``considered`` is false if the target was not in the sample
    that is compared for one call, ``notes`` says what keeps it from being preferred.
    """

    host: str
    target: str
    domain: str
    version: str
    seconds: float
    wait: float
    work: float
    network: float
    failing: float
    cost: float
    age: float | None
    score: float | None
    considered: bool
    notes: tuple = ()


@dataclasses.dataclass(slots=True, frozen=True)
class LeftOut:
    """A target that the call may not be sent to, and why."""

    host: str
    target: str
    domain: str
    cause: str


@dataclasses.dataclass(slots=True, frozen=True)
class Answer:
    """How a proxy would route a call that came at this moment.

    ``sheet`` is the version of the sheet, ``None`` if there is none. ``service`` is the
    part of the route that the next call goes to. ``rank`` is the call's priority.
    ``decided_by`` is ``estimates`` or ``loads``. ``first`` is the host of the first
    choice, empty if there is none; then ``refusal`` says why. ``refusal`` is also set
    if the call would be refused before its targets are looked at. ``candidate_count``
    and ``left_out_count`` are the numbers of all such targets, of which some are listed
    if there are many.
    """

    proxy: str
    method: str
    host: str
    path: str
    sheet: int | None = None
    route: str = ""
    service: str = ""
    safe: bool = False
    rank: int = 0
    workspace: str = ""
    quota: Quota | None = None
    decided_by: str = ""
    candidates: tuple = ()
    candidate_count: int = 0
    left_out: tuple = ()
    left_out_count: int = 0
    first: str = ""
    refusal: str = ""

    def encode(self):
        """Return the answer as JSON."""
        return orjson.dumps(dataclasses.asdict(self))


def decode_answer(body):
    """Return the ``Answer`` in JSON; raise ``ValueError`` if it is malformed.

    >>> answer = Answer("n1", "GET", "a.example", "/x/", quota=Quota(5, 9, 1, 0, 2))
    >>> decode_answer(answer.encode()) == answer
    True
    """
    try:
        values = orjson.loads(body)
        quota = values.pop("quota")
        candidates = [
            Candidate(**{**row, "notes": tuple(row["notes"])})
            for row in values.pop("candidates")
        ]
        left_out = [LeftOut(**row) for row in values.pop("left_out")]
        return Answer(
            **values,
            quota=quota and Quota(**quota),
            candidates=tuple(candidates),
            left_out=tuple(left_out),
        )
    except (TypeError, KeyError, AttributeError) as error:
        raise ValueError(f"malformed answer: {error}") from None
