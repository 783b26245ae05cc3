"""Encode and decode requests for the shared state and the responses to them.

A proxy sends a state request to another one that has the state: the operator's keys,
the sheet read from them, and the keys that the proxies write. Both messages are JSON
arrays. Longer responses are compressed.
"""

import dataclasses
import zlib

import orjson

from lentilrouter.core import fields
from lentilrouter.datapath import messages
from lentilrouter.proxy import deltas, hops, replicas

STATE_PATH = hops.PATH_PREFIX + "operator-state"
SNAPSHOT_PATH = hops.PATH_PREFIX + "operator-state-taught"
COMPRESSED_FROM_BYTES = 512
RESPONSE_BYTES_MAX = 16 * 1024 * 1024  # of a response after decompression
DEFLATED = (b"content-encoding", b"deflate")
REQUEST_FIELDS = ("host", "at", "version", "entries_at", "hold", "mark")
RESPONSE_FIELDS = (
    "delay",
    "age",
    "operator",
    "entries",
    "revision",
    "store_unreachable",
    "delta",
    "proof_age",
    "proved_version",
)


@dataclasses.dataclass(slots=True, frozen=True)
class StateRequest:
    """A request of the proxy on ``host`` for the changes that it lacks.

    It has the operator's keys up to revision ``at``, the sheet ``version`` and the
    proxies' keys up to revision ``entries_at``. ``mark`` is that of the last update of
    these keys that it got from the proxy that is asked.

    The response is a long poll: it is delayed for up to ``hold`` seconds until there
    are changes, or the state is known to be current at a later time.
    """

    host: str
    at: int
    version: int
    entries_at: int
    hold: float
    mark: tuple = (0, 0)

    def encode(self):
        """Return the body of the request."""
        return orjson.dumps(
            [
                self.host,
                self.at,
                self.version,
                self.entries_at,
                round(self.hold, 3),
                list(self.mark),
            ]
        )


@dataclasses.dataclass(slots=True, frozen=True)
class StateResponse:
    """The changes that a requesting proxy lacks.

    ``delay`` is the time in seconds for which the response was delayed, ``age`` the
    time in seconds since the store was last known to have nothing newer for the
    operator's keys. ``operator`` and ``entries`` are the updates of the operator's and
    the proxies' keys. ``revision`` is the one of the sheet, ``delta`` the encoded delta
    to it, ``None`` for a proxy that has it. ``store_unreachable`` is true if the store
    responds to other proxies, but not to the one that sends this. ``proof_age`` is the
    time in seconds since the sheet ``proved_version`` was proved to be the store's,
    rounded up.
    """

    delay: float
    age: float
    operator: replicas.Update
    entries: replicas.Update
    revision: int
    store_unreachable: bool
    delta: list | None
    proof_age: float
    proved_version: int

    def encode(self):
        """Return the headers and the body of the response."""
        body = orjson.dumps(
            [
                round(self.delay, 4),
                round(self.age, 4),
                self.operator.encode(),
                self.entries.encode(),
                self.revision,
                self.store_unreachable,
                self.delta,
                self.proof_age,
                self.proved_version,
            ]
        )
        if len(body) < COMPRESSED_FROM_BYTES:
            return messages.JSON_TYPE, body
        return [*messages.JSON_TYPE, DEFLATED], zlib.compress(body)


def decode_request(body):
    """Return the ``StateRequest`` in a body; raise ``ValueError`` if malformed."""
    request = fields.named(REQUEST_FIELDS, orjson.loads(body))
    return StateRequest(
        request.text("host", empty=True),
        request.integer("at"),
        request.integer("version"),
        request.integer("entries_at"),
        request.number("hold"),
        replicas.decode_mark(request.rows("mark")),
    )


def decode_response(message):
    """Return the ``StateResponse`` in a message; raise ``ValueError`` if malformed."""
    body = message.body
    if message.header(DEFLATED[0]) == DEFLATED[1].decode():
        body = _inflate(body)
    response = fields.named(RESPONSE_FIELDS, orjson.loads(body))
    return StateResponse(
        response.number("delay"),
        response.number("age"),
        replicas.decode(response.rows("operator")),
        replicas.decode(response.rows("entries")),
        response.integer("revision"),
        response.flag("store_unreachable"),
        response.rows("delta", default=None),
        response.number("proof_age"),
        response.integer("proved_version"),
    )


def read_delta(response):
    """Return the ``Delta`` of a response, ``None`` if it has none.

    Raise ``ValueError`` if it is malformed.
    """
    return None if response.delta is None else deltas.decode(response.delta)


def _inflate(body):
    """Return the decompressed bytes of a body.

    Raise ``ValueError`` if the body is not valid, is cut short, or has more than
    ``RESPONSE_BYTES_MAX`` bytes once decompressed.
    """
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(body, RESPONSE_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if reader.unconsumed_tail or not reader.eof:
        raise ValueError("compressed state response is truncated or too large")
    return data
