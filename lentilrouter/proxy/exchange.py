"""Carry what one proxy knows of the store to one that cannot reach it."""

import base64

import orjson

from lentilrouter.proxy import hops, vault

CATCH_UP_PATH = hops.PATH_PREFIX + "catch-up"
NO_SHEET = b"no sheet"


def encode(items):
    """Return the message that carries items of the store.

    >>> decode(encode([vault.Item("a", b"1", 7)]))
    [Item(key='a', value=b'1', revision=7, lease=0)]
    """
    return orjson.dumps(
        [
            [item.key, base64.b64encode(item.value).decode(), item.revision, item.lease]
            for item in items
        ]
    )


def decode(body):
    """Return the items in a message; raise ``ValueError`` if it is none."""
    items = []
    rows = orjson.loads(body)
    if not isinstance(rows, list):
        raise ValueError("items are a list")
    for row in rows:
        if not isinstance(row, list) or [type(field) for field in row] != [
            str,
            str,
            int,
            int,
        ]:
            raise ValueError(f"no item: {row!r}"[:100])
        key, value, revision, lease = row
        items.append(vault.Item(key, base64.b64decode(value), revision, lease))
    return items
