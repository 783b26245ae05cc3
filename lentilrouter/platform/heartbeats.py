"""Read what a target says of itself: heartbeats and its leaving."""

import dataclasses
import urllib.parse

import orjson

from lentilrouter.proxy import liveness

PATH = "/v1/rpc"
BEAT = "instances.beat"
LEAVE = "instances.leave"
STATES = {"ready": liveness.State.READY, "draining": liveness.State.DRAINING}


@dataclasses.dataclass(slots=True, frozen=True)
class Unreadable:
    """Report a call that names no target to use, and why."""

    reason: str


def read(request):
    """Return the ``Heartbeat`` or ``Leave`` in a target's call, or ``Unreadable``."""
    path, _, query = request.target.partition("?")
    fields = dict(urllib.parse.parse_qsl(query))
    call, id = fields.get("call"), fields.get("of")
    if path != PATH or call not in (BEAT, LEAVE) or not id:
        return Unreadable(f"no such call: {request.target[:100]}")
    try:
        body = orjson.loads(request.body) if request.body else {}
        born = _whole(body.get("born", 0))
        if call == LEAVE:
            return liveness.Leave(id, born)
        info, status = body["info"], body["status"]
        return liveness.Heartbeat(
            id=id,
            born=born,
            sequence=_whole(status["seq"]),
            address=_text(body["addr"]),
            service=_text(info["service"]),
            version=_text(info["version"]),
            slots=_whole(info["slots"]),
            state=STATES[status["state"]],
            cold_seconds=float(status.get("cold_left_s", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Unreadable(f"{type(error).__name__}: {error}")


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is no whole number")
    return value


def _text(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is no text")
    return value
