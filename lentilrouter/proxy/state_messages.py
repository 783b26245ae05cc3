"""Carry what the operator wrote from a proxy that has it to one that asks.

Both messages are JSON arrays. An answer of more than a few hundred bytes travels
compressed.
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
ANSWER_BYTES_MAX = 16 * 1024 * 1024  # of an answer once it is read
DEFLATED = (b"content-encoding", b"deflate")


@dataclasses.dataclass(slots=True, frozen=True)
class StateRequest:
    """Ask for what came after revision ``at`` and sheet ``version``.

    The answer waits up to ``hold`` seconds for news, or for a newer proof that there is
    none.
    """

    at: int
    version: int
    hold: float

    def encode(self):
        """Return the body of the question."""
        return orjson.dumps([self.at, self.version, round(self.hold, 3)])


@dataclasses.dataclass(slots=True, frozen=True)
class StateResponse:
    """Carry what came after the revision asked for; nothing is missing up to ``at``.

    ``held`` are the seconds that the answer waited, ``age`` those since the store
    proved that there was nothing else. With ``complete`` all items are there, and what
    is not was removed. ``revision`` is that of the sheet; ``delta`` leads to it, and is
    ``None`` for a proxy that has it. ``store_unreachable`` tells that the store answers
    other proxies, but not the one that this comes from.
    """

    at: int
    held: float
    age: float
    complete: bool
    items: list
    removed: list
    revision: int
    store_unreachable: bool
    delta: list | None

    def encode(self):
        """Return headers and body of the answer."""
        rows = [
            [item.key, base64.b64encode(item.value).decode(), item.revision]
            for item in self.items
        ]
        body = orjson.dumps(
            [
                self.at,
                round(self.held, 4),
                round(self.age, 4),
                self.complete,
                rows,
                [[gone.key, gone.revision] for gone in self.removed],
                self.revision,
                self.store_unreachable,
                self.delta,
            ]
        )
        if len(body) < COMPRESSED_FROM_BYTES:
            return messages.JSON_TYPE, body
        return [*messages.JSON_TYPE, DEFLATED], zlib.compress(body)


def decode_request(body):
    """Return the ``StateRequest`` in a body; raise ``ValueError`` if it is none."""
    row = orjson.loads(body)
    if not isinstance(row, list) or [type(f) for f in row] != [int, int, float]:
        raise ValueError(f"no question: {row!r}"[:100])
    return StateRequest(*row)


def decode_response(message):
    """Return the ``StateResponse`` in a message; raise ``ValueError`` if it is none."""
    body = message.body
    if message.header(DEFLATED[0]) == DEFLATED[1].decode():
        body = _inflate(body)
    row = orjson.loads(body)
    kinds = [int, float, float, bool, list, list, int, bool]
    if not isinstance(row, list) or [type(f) for f in row[:-1]] != kinds:
        raise ValueError(f"no answer: {row!r}"[:100])
    at, held, age, complete, items, removed, revision, store_unreachable, delta = row
    try:
        rows = [(key, base64.b64decode(value), rev) for key, value, rev in items]
        _check_keys([*((key, rev) for key, _, rev in rows), *removed])
        return StateResponse(
            at,
            held,
            age,
            complete,
            [kvstore.Item(*row) for row in rows],
            [kvstore.Removed(key, rev) for key, rev in removed],
            revision,
            store_unreachable,
            delta,
        )
    except (TypeError, AttributeError) as error:
        raise ValueError(f"no answer: {error}") from None


def _check_keys(pairs):
    for key, revision in pairs:
        if type(key) is not str or type(revision) is not int:
            raise ValueError(f"no key and revision: {key!r}, {revision!r}"[:100])


def read_delta(answer):
    """Return the ``Delta`` of an answer, or ``None``; raise ``ValueError`` if bad."""
    return None if answer.delta is None else deltas.decode(answer.delta)


def _inflate(body):
    """Return compressed bytes as they were; raise ``ValueError`` if they are none."""
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(body, ANSWER_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if reader.unconsumed_tail or not reader.eof:
        raise ValueError("the answer is too large, or cut short")
    return data
