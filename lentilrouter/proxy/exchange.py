"""Encode and broadcast the updates that a proxy sends to the others.

Updates are items of the store, and messages that cannot wait for the store.
"""

import asyncio
import base64

import orjson

from lentilrouter.core import fields
from lentilrouter.datapath import messages
from lentilrouter.proxy import hops, kvstore

CATCH_UP_PATH = hops.PATH_PREFIX + "catch-up"
HALT_PATH = hops.PATH_PREFIX + "halt"
CRASH_PATH = hops.PATH_PREFIX + "crash"
BROADCAST_SECONDS = 0.35  # for the response of each proxy, one lost packet included
NO_SHEET = b"no sheet"  # response to a probe by a proxy that has no sheet


def encode(items):
    """Return the body of a message with items of the store.

    >>> decode(encode([kvstore.Item("a", b"1", 7)]))
    [Item(key='a', value=b'1', revision=7, lease=0)]
    """
    return orjson.dumps(
        [
            [item.key, base64.b64encode(item.value).decode(), item.revision, item.lease]
            for item in items
        ]
    )


def decode(body):
    """Return the items in the body of a message; raise ``ValueError`` if malformed."""
    items = []
    for row in fields.rows(orjson.loads(body), "items"):
        item = fields.named(("key", "value", "revision", "lease"), row)
        value = kvstore.decode_value(item.text("value", empty=True, longest=None))
        items.append(
            kvstore.Item(
                item.text("key"), value, item.integer("revision"), item.integer("lease")
            )
        )
    return items


def decode_row(body, *kinds):
    """Return the list in the body of a message.

    Raise ``ValueError`` unless it has one field of each of these types, in order.

    >>> decode_row(b'["ledger", 7]', str, int)
    ['ledger', 7]
    """
    row = fields.rows(orjson.loads(body), "message")
    if [type(field) for field in row] != list(kinds):
        raise ValueError(f"unexpected fields: {row!r}"[:100])
    return row


async def broadcast(services, path, body):
    """Send a message to all other known proxies.

    Return the hosts that did not respond within ``BROADCAST_SECONDS``.
    """
    own = services.settings.proxy.address
    targets = [t for t in services.directory.by_host.values() if t.host != own]
    return await send_to(services, targets, path, body)


async def send_to(services, targets, path, body):
    """Send a message to the proxies of some targets.

    Return the hosts that did not respond within ``BROADCAST_SECONDS``.
    """
    request = messages.Request("POST", path, [(b"host", b"peer")], body)
    results = await asyncio.gather(
        *(services.peers.send(t.peer, request, BROADCAST_SECONDS) for t in targets)
    )
    missed = [
        target.host
        for target, result in zip(targets, results, strict=True)
        if not isinstance(result, messages.Replied)
    ]
    if missed:
        services.log.event("not-told", path=path, hosts=missed)
    return missed
