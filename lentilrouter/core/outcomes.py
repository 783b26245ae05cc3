"""Outcomes of a call."""

import dataclasses
import enum


class Reason(enum.StrEnum):
    """Reason why a call was not run."""

    NO_SHEET = "no sheet"
    NO_ROUTE = "no route"
    SHEET_OLD = "sheet may be old"
    UNPROVEN = "sheet not proved current"
    KEY_REMOVED = "key was removed"
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
    EVACUATED = "domain is evacuated"
    COLD = "target is cold"
    NO_HOME = "no target in a home region"


@dataclasses.dataclass(slots=True, frozen=True)
class Answered:
    """A target ran the call and its complete response arrived.

    ``run_seconds`` is the time the target took, without forwarding and queues.
    """

    response: object
    target: str = ""
    run_seconds: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class NotRun:
    """No target has run the call: it was sent to none, or the target refused it."""

    reason: Reason
    detail: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Failed:
    """A target ran the call, but its response did not arrive completely.

    ``crashed`` is true if the target crashed with calls in flight, ``blocked`` if this
    call caused the crash.
    """

    detail: str
    crashed: bool = False
    blocked: bool = False
    target: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Unknown:
    """The call was sent and may or may not have run.

    ``crashed`` and ``blocked`` are as in :class:`Failed`. ``late`` is true if no
    response arrived in time. ``host_silent`` is true if the node of the target did not
    respond, so nothing is known of the target itself.
    """

    detail: str
    crashed: bool = False
    blocked: bool = False
    late: bool = False
    host_silent: bool = False
    target: str = ""
