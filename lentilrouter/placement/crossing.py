"""Tell what bytes between failure domains are spent on. Does no I/O."""

import enum

from lentilrouter.proxy import hops, state_messages

HEAD_BYTES = 40  # first line and content-length header of a message
# Messages that carry entries of proxies; all others carry the operator's state.
ENTRY_PATHS = (hops.TARGET_PATH, hops.PATH_PREFIX + "catch-up")
STATE_PATHS = (state_messages.STATE_PATH, state_messages.SNAPSHOT_PATH)


class Cause(enum.StrEnum):
    """What bytes between failure domains were spent on.

    ``FIRST``, ``RETRY`` and ``HEDGE`` are requests of calls that were not refused,
    ``ANSWER`` the responses to them. A hedge runs beside another attempt of its call.
    ``REFUSED`` are requests that the target's proxy refused, and its refusals.
    """

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    ANSWER = "answer"
    REFUSED = "refused"
    RESERVATION = "reservation"
    ENTRY = "entry"
    STATE = "state"
    OTHER = "other"


def attempt_cause(tried, in_flight):
    """Return the ``Cause`` of an attempt.

    ``tried`` tells whether the call was sent to any target before, ``in_flight``
    whether one of its attempts has not ended.
    """
    if in_flight:
        return Cause.HEDGE
    return Cause.RETRY if tried else Cause.FIRST


def message_cause(request):
    """Return the ``Cause`` of a message between proxies, ``None`` for a call."""
    if request.header(hops.HEADER):
        return None
    if request.path in ENTRY_PATHS:
        return Cause.ENTRY
    return Cause.STATE if request.path in STATE_PATHS else Cause.OTHER


def split(cause, sent, received, refused):
    """Return the bytes of an attempt by ``Cause``.

    ``sent`` are the bytes of its request, ``received`` those of the response.
    """
    if cause is Cause.RESERVATION:
        return {cause: sent + received}
    if refused:
        return {Cause.REFUSED: sent + received}
    return {cause: sent, Cause.ANSWER: received}


def wire_bytes(message):
    """Return the approximate size of a message on the wire, in bytes."""
    head = sum(len(name) + len(value) + 4 for name, value in message.headers)
    return HEAD_BYTES + head + len(message.body)
