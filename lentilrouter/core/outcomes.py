"""Name the ways in which a call can end."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Say why a call was not run."""

    NO_SHEET = "no sheet"
    NO_ROUTE = "no route"
    SHEET_OLD = "sheet may be old"
    NO_TARGET = "no target"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    DEADLINE = "deadline passed"
    TOO_LARGE = "too large"
    CRASHES_TARGETS = "crashes targets"
    UNREACHABLE = "target unreachable"
    UNCONFIRMED = "not confirmed in time"
    BAD_REQUEST = "bad request"
    DUPLICATE = "already running"


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """Carry the whole answer of a target.

    ``run_seconds`` is the time the target took, without the way there and queues.
    """

    response: object
    target: str = ""
    run_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """Prove that no target has run the call: it was never handed to one."""

    reason: Reason
    detail: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """Report a call that a target ran without giving a whole answer.

    ``crashed`` tells that the target died of a call in flight, ``blocked`` that it
    was this one.
    """

    detail: str
    crashed: bool = False
    blocked: bool = False
    target: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """Report a call that was handed over and may or may not have run.

    ``host_silent`` tells that the target's own node gave no answer, so nothing is
    known of the target itself.
    """

    detail: str
    crashed: bool = False
    blocked: bool = False
    late: bool = False
    host_silent: bool = False
    target: str = ""
