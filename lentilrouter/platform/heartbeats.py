"""Decode heartbeats and leave messages of targets."""

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
    """Result: the request is not a valid heartbeat or leave message."""

    reason: str


def read(request):
    """Return the ``Heartbeat`` or ``Leave`` in a request, or ``Unreadable``."""
    path, _, query = request.target.partition("?")
    fields = dict(urllib.parse.parse_qsl(query))
    call, id = fields.get("call"), fields.get("of")
    if path != PATH or call not in (BEAT, LEAVE) or not id:
        return Unreadable(f"no such call: {request.target[:100]}")
    try:
        body = orjson.loads(request.body) if request.body else {}
        born = _integer(body.get("born", 0))
        if call == LEAVE:
            return liveness.Leave(id, born)
        info, status = body["info"], body["status"]
        return liveness.Heartbeat(
            id=id,
            born=born,
            sequence=_integer(status["seq"]),
            address=_non_empty_string(body["addr"]),
            service=_non_empty_string(info["service"]),
            version=_non_empty_string(info["version"]),
            slots=_integer(info["slots"]),
            state=STATES[status["state"]],
            cold_seconds=float(status.get("cold_left_s", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Unreadable(f"{type(error).__name__}: {error}")


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not an integer")
    return value


def _non_empty_string(value):
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return value
