"""Stand in for the store that the platform publishes, with the faults it can have."""

import asyncio
import base64
import itertools
import urllib.parse

import orjson

from lentilrouter.datapath import messages
from lentilrouter.proxy import serving, sheets

JSON_TYPE = [(b"content-type", b"application/json")]
HANG_SECONDS = 3600.0


class StoreServer:
    """Serve items, watches, conditional writes and leases from memory.

    ``fault`` is one of ``busy`` (503), ``many`` (429), ``silent`` (no answer, and none
    later to a watch that would have been answered meanwhile) and
    ``lost`` (writes are done and not answered), or empty. With ``refuses_writes`` only
    writes are answered 503. ``bytes_per_second`` is what the link to a proxy carries,
    one answer after the other; ``None`` for no limit.
    """

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.log = []
        self.oldest = 0
        self.leases = {}
        self.lease_ids = itertools.count(77000)
        self.changed = asyncio.Event()
        self.fault = ""
        self.refuses_writes = False
        self.bytes_per_second = None
        self.link = asyncio.Lock()
        self.calls = []
        self.server = serving.Server(
            self.answer, sheets.Limits, lambda status: _reply(status), lambda s: None
        )

    async def start(self, address):
        """Listen on ``IP:port``."""
        await self.server.start(address)

    def close(self):
        """Stop to listen and cut every connection."""
        self.server.close()

    def put(self, key, value, lease=0):
        """Write a key as the operator does; return its revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("created_rev", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created_rev": created,
            "lease": lease,
        }
        self._note(self.items[key])
        return self.revision

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "rev": self.revision, "compacted": True})

    def value(self, key):
        """Return the bytes under a key, or ``None``."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def forget_history(self):
        """Drop the history; older watches are answered 410."""
        self.log.clear()
        self.oldest = self.revision

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def _note(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = asyncio.get_running_loop().time()
        for lease in [k for k, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    async def answer(self, request):
        """Answer one call, as fast as the link carries the answer."""
        reply = await self._answer(request)
        if self.fault == "silent":
            await asyncio.sleep(HANG_SECONDS)
        if self.bytes_per_second is not None:
            async with self.link:
                await asyncio.sleep(len(reply.body) / self.bytes_per_second)
        return reply

    async def _answer(self, request):
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        self.calls.append(path)
        if self.fault == "busy":
            return _reply(503)
        if self.fault == "many":
            return _reply(429)
        if self.fault == "silent":
            await asyncio.sleep(HANG_SECONDS)
        self._expire()
        body = orjson.loads(request.body) if request.body else {}
        name = path.split("/")[2]
        if name == "kv-watch":
            return await self._watch(fields)
        reply = getattr(self, "_" + name.replace("-", "_"))(path, fields, body)
        if self.fault == "lost" and request.method != "GET":
            await asyncio.sleep(HANG_SECONDS)
        return reply

    def _kv_key(self, path, fields, body):
        item = self.items.get(fields["key"])
        return _reply(200, {**item, "at": self.revision}) if item else _reply(404)

    def _kv_range(self, path, fields, body):
        rows = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(fields["prefix"]) and key > fields.get("after", "")
        ]
        page = {"items": rows[:500], "has_more": len(rows) > 500, "at": self.revision}
        return _reply(200, page)

    async def _watch(self, fields):
        after, prefix = int(fields["after"]), fields["prefix"]
        loop = asyncio.get_running_loop()
        end = loop.time() + int(fields["wait_ms"]) / 1000
        while True:
            if after < self.oldest:
                return _reply(410)
            events = [
                event
                for event in self.log
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return _reply(200, {"events": events, "at": self.revision})
            try:
                async with asyncio.timeout(min(left, 0.2)):
                    await self.changed.wait()
            except TimeoutError:
                self._expire()

    def _kv_txn(self, path, fields, body):
        if self.refuses_writes:
            return _reply(503)
        current = [self.items.get(row["key"]) for row in body["expected"]]
        for row, item in zip(body["expected"], current, strict=True):
            if (item["rev"] if item else 0) != row["rev"]:
                return _reply(412, {"items": [i for i in current if i]})
        for row in body["puts"]:
            if row["key"].startswith(("op/", "servers/")):
                return _reply(403)
            if row["lease"] and row["lease"] not in self.leases:
                return _reply(404)
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["deletes"]:
            self.remove(key)
        return _reply(200, {"rev": self.revision})

    def _kv_lease(self, path, fields, body):
        lease = next(self.lease_ids)
        seconds = max(1.0, body["ttl_s_time"])
        self.leases[lease] = (seconds, asyncio.get_running_loop().time() + seconds)
        return _reply(200, {"lease": lease, "ttl_s_time": seconds})

    def _kv_keep(self, path, fields, body):
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return _reply(404)
        seconds = self.leases[lease][0]
        self.leases[lease] = (seconds, asyncio.get_running_loop().time() + seconds)
        return _reply(200, {"ttl_s_time": seconds})

    def _kv_lease_end(self, path, fields, body):
        self.end_lease(int(path.rpartition("/")[2]))
        return _reply(200)


def _reply(status, body=None):
    data = b"" if body is None else orjson.dumps(body)
    return messages.Response(status, JSON_TYPE, data)
