"""Decode heartbeats and leave messages of targets."""

import dataclasses
import urllib.parse

import orjson

from lentilrouter.core import fields
from lentilrouter.proxy import directory, liveness

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
    options = dict(urllib.parse.parse_qsl(query))
    call, id = options.get("call"), options.get("of")
    if path != PATH or call not in (BEAT, LEAVE) or not id:
        return Unreadable(f"no such call: {request.target[:100]}")
    try:
        values = orjson.loads(request.body) if request.body else {}
        body = fields.Fields(values)
        fields.text(id, "id")
        born = body.integer("born", default=0)
        if call == LEAVE:
            return liveness.Leave(id, born)
        info = fields.Fields(body.values.get("info"))
        status = fields.Fields(body.values.get("status"))
        state = status.text("state")
        if state not in STATES:
            return Unreadable(f"unknown state: {state}"[:100])
        return liveness.Heartbeat(
            id=id,
            born=born,
            sequence=status.integer("seq"),
            address=body.address("addr"),
            service=info.text("service"),
            version=info.text("version"),
            slots=info.integer("slots", low=1, high=directory.SLOTS_MAX),
            state=STATES[state],
            cold_seconds=status.number(
                "cold_left_s", high=directory.COLD_SECONDS_MAX, default=None
            ),
        )
    except ValueError as error:
        return Unreadable(str(error))
