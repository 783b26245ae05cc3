"""Encode and decode requests for the operator's state and the responses to them.

A proxy sends a state request to another one that has the state. Both messages are JSON
arrays. Longer responses are compressed.
"""

import base64
import dataclasses
import zlib

import orjson

from lentilrouter.datapath import messages
from lentilrouter.proxy import deltas, hops, kvstore

STATE_PATH = hops.PATH_PREFIX + "operator-state"
SNAPSHOT_PATH = hops.PATH_PREFIX + "operator-state-taught"
COMPRESSED_FROM_BYTES = 512
RESPONSE_BYTES_MAX = 16 * 1024 * 1024  # of a response after decompression
DEFLATED = (b"content-encoding", b"deflate")


@dataclasses.dataclass(slots=True, frozen=True)
class StateRequest:
    """A request for the changes after revision ``at`` and sheet ``version``.

    The response is a long poll: it is delayed for up to ``hold`` seconds until there
    are changes, or the state is known to be current at a later time.
    """

    at: int
    version: int
    hold: float

    def encode(self):
        """Return the body of the request."""
        return orjson.dumps([self.at, self.version, round(self.hold, 3)])


@dataclasses.dataclass(slots=True, frozen=True)
class StateResponse:
    """The changes after a requested revision, with none missing up to ``at``.

    ``delay`` is the time in seconds for which the response was delayed, ``age`` the
    time in seconds since the store was last known to have nothing newer. If
    ``complete`` is true, ``items`` are all items, and any other was removed.
    ``revision`` is the one of the sheet, ``delta`` the encoded delta to it, ``None``
    for a proxy that has it. ``store_unreachable`` is true if the store responds to
    other proxies, but not to the one that sends this.
    """

    at: int
    delay: float
    age: float
    complete: bool
    items: list
    removed: list
    revision: int
    store_unreachable: bool
    delta: list | None

    def encode(self):
        """Return the headers and the body of the response."""
        rows = [
            [item.key, base64.b64encode(item.value).decode(), item.revision]
            for item in self.items
        ]
        body = orjson.dumps(
            [
                self.at,
                round(self.delay, 4),
                round(self.age, 4),
                self.complete,
                rows,
                [[removal.key, removal.revision] for removal in self.removed],
                self.revision,
                self.store_unreachable,
                self.delta,
            ]
        )
        if len(body) < COMPRESSED_FROM_BYTES:
            return messages.JSON_TYPE, body
        return [*messages.JSON_TYPE, DEFLATED], zlib.compress(body)


def decode_request(body):
    """Return the ``StateRequest`` in a body; raise ``ValueError`` if malformed."""
    row = orjson.loads(body)
    if not isinstance(row, list) or [type(f) for f in row] != [int, int, float]:
        raise ValueError(f"malformed state request: {row!r}"[:100])
    return StateRequest(*row)


def decode_response(message):
    """Return the ``StateResponse`` in a message; raise ``ValueError`` if malformed."""
    body = message.body
    if message.header(DEFLATED[0]) == DEFLATED[1].decode():
        body = _inflate(body)
    row = orjson.loads(body)
    kinds = [int, float, float, bool, list, list, int, bool]
    if not isinstance(row, list) or [type(f) for f in row[:-1]] != kinds:
        raise ValueError(f"malformed state response: {row!r}"[:100])
    at, delay, age, complete, items, removed, revision, store_unreachable, delta = row
    try:
        rows = [(key, base64.b64decode(value), rev) for key, value, rev in items]
        _check_keys([*((key, rev) for key, _, rev in rows), *removed])
        return StateResponse(
            at,
            delay,
            age,
            complete,
            [kvstore.Item(*row) for row in rows],
            [kvstore.Removed(key, rev) for key, rev in removed],
            revision,
            store_unreachable,
            delta,
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"malformed state response: {error}") from None


def _check_keys(pairs):
    """Raise ``ValueError`` unless each pair is a string key and an integer revision."""
    for key, revision in pairs:
        if type(key) is not str or type(revision) is not int:
            raise ValueError(f"malformed key or revision: {key!r}, {revision!r}"[:100])


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
