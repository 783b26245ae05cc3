"""Represent calls and convert their outcomes to and from HTTP responses."""

import dataclasses

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages

TIMEOUT_HEADER = b"x-timeout-ms"
TENANT_HEADER = b"x-tenant"
REQUEST_ID_HEADER = b"x-request-id"
OUTCOME_HEADER = b"lentilrouter-outcome"
REASON_HEADER = b"lentilrouter-reason"
TARGET_HEADER = b"lentilrouter-target"
DEADLINE_HEADER = b"lentilrouter-deadline-ms"
CLASS_HEADER = b"lentilrouter-class"
FINGERPRINT_HEADER = b"lentilrouter-fingerprint"
IDEMPOTENT_HEADER = b"lentilrouter-idempotent"
RUN_TIME_HEADER = b"lentilrouter-run-us"
SUSPECT_HEADER = b"lentilrouter-suspect"
CONVICTED_HEADER = b"lentilrouter-convicted"
CRASHED_HEADER = b"lentilrouter-crashed"
REVISION_HEADER = b"lentilrouter-revision"

STATUS_OF_REASON = {
    outcomes.Reason.NO_ROUTE: 404,
    outcomes.Reason.TOO_LARGE: 413,
    outcomes.Reason.BAD_REQUEST: 400,
    outcomes.Reason.DEADLINE: 504,
    outcomes.Reason.CRASHES_TARGETS: 422,
    outcomes.Reason.DUPLICATE: 409,
}
STATUS_NOT_RUN = 503  # for all other reasons
MICROSECONDS_PER_SECOND = 1_000_000
STATUS_FAILED = 502
STATUS_UNKNOWN = 504


@dataclasses.dataclass(slots=True)
class Call:
    """A request and what the filters decided about it.

    ``view`` is set once, so that the whole call uses one revision of the sheet.
    ``started`` and ``deadline`` are in monotonic seconds. ``attempts`` counts the
    targets tried so far, ``tried`` has their ids.
    """

    request: messages.Request
    view: object
    started: float
    deadline: float = 0.0
    route: object = None
    service: object = None
    tenant: str = ""
    traffic_class: str = "default"
    request_id: str | None = None
    fingerprint: str = ""
    version: str = ""
    attempts: int = 0
    tried: set = dataclasses.field(default_factory=set)

    @property
    def idempotent(self):
        """Return whether the route allows the call to run more than once."""
        return self.route is not None and self.route.idempotent


def refusal(outcome):
    """Return the response to the caller for a ``NotRun`` outcome."""
    status = STATUS_OF_REASON.get(outcome.reason, STATUS_NOT_RUN)
    return _outcome_response(status, b"not-run", str(outcome.reason), outcome.detail)


def to_response(outcome, revision):
    """Return the response to the caller for the outcome of a call.

    ``revision`` is the revision of the sheet, sent along in a header. The response of
    a target is returned unchanged.
    """
    if isinstance(outcome, outcomes.Answered):
        return outcome.response
    if isinstance(outcome, outcomes.NotRun):
        response = refusal(outcome)
    elif isinstance(outcome, outcomes.Failed):
        response = _outcome_response(STATUS_FAILED, b"failed", "failed", outcome.detail)
    else:
        response = _outcome_response(
            STATUS_UNKNOWN, b"unknown", "unknown", outcome.detail
        )
    if getattr(outcome, "crashed", False):
        response.headers.append((CRASHED_HEADER, b"1"))
    if getattr(outcome, "blocked", False):
        response.headers.append((CONVICTED_HEADER, b"1"))
    response.headers.append((REVISION_HEADER, b"%d" % revision))
    return response


def to_peer(outcome, revision):
    """Return the response to the node that forwarded a call.

    Compared with :func:`to_response`, the response of a target has in addition the
    time that the target took, in microseconds.
    """
    response = to_response(outcome, revision)
    if isinstance(outcome, outcomes.Answered):
        microseconds = b"%d" % (outcome.run_seconds * MICROSECONDS_PER_SECOND)
        headers = [*response.headers, (RUN_TIME_HEADER, microseconds)]
        return messages.Response(response.status, headers, response.body)
    return response


def _outcome_response(status, tag, reason, detail):
    text = f"{tag.decode()}: {reason}" + (f": {detail}" if detail else "") + "\n"
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (OUTCOME_HEADER, tag),
        (REASON_HEADER, reason.encode()),
    ]
    return messages.Response(status, headers, text.encode())


def from_peer(response, target):
    """Return the outcome that another node encoded with :func:`to_peer`.

    A response without an outcome header is the response of the target itself. Raise
    ``ValueError`` if a header is malformed.
    """
    tag = response.header(OUTCOME_HEADER)
    if tag is None or tag == "answered":
        seconds = int(response.header(RUN_TIME_HEADER) or 0) / MICROSECONDS_PER_SECOND
        return outcomes.Answered(messages.strip_hop_headers(response), target, seconds)
    detail = response.body.decode("utf-8", "replace").strip()
    if tag == "not-run":
        reason = outcomes.Reason(response.header(REASON_HEADER))
        return outcomes.NotRun(reason, detail.rpartition(": ")[2])
    crashed = response.header(CRASHED_HEADER) is not None
    blocked = response.header(CONVICTED_HEADER) is not None
    kind = outcomes.Failed if tag == "failed" else outcomes.Unknown
    return kind(detail, crashed=crashed, blocked=blocked, target=target)
