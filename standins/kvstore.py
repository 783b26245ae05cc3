"""Stand-in for the platform's key-value store as proxies use it.

Tests can set its faults. Nodes use another protocol, see :mod:`standins.platform`.
"""

import asyncio
import base64
import itertools
import urllib.parse

import orjson

from lentilrouter.datapath import messages
from lentilrouter.proxy import serving, sheets

JSON_TYPE = [(b"content-type", b"application/json")]
HANG_SECONDS = 3600.0  # longer than any client waits


class StoreServer:
    """A server of items, watches, conditional writes and leases in memory.

    ``fault`` is empty or one of:

    - ``busy``: every request gets status 503.
    - ``many``: every request gets status 429.
    - ``silent``: no request gets a response, nor does an earlier watch that ends
      while the fault is set.
    - ``lost``: writes take effect but get no response.

    With ``refuses_writes``, only writes get status 503. ``bytes_per_second`` limits
    the bandwidth of all responses together, sent one after the other; ``None`` means
    no limit. ``calls`` lists the paths of all requests.
    """

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.history = []
        self.oldest_revision = 0
        self.leases = {}
        self.lease_ids = itertools.count(77000)
        self.changed = asyncio.Event()
        self.fault = ""
        self.refuses_writes = False
        self.bytes_per_second = None
        self.link_lock = asyncio.Lock()
        self.calls = []
        self.server = serving.Server(
            self.handle, sheets.Limits, lambda status: _response(status), lambda s: None
        )

    async def start(self, address):
        """Listen on ``IP:port``."""
        await self.server.start(address)

    def close(self):
        """Stop listening and close every connection."""
        self.server.close()

    def put(self, key, value, lease=0):
        """Write a key unconditionally, as the operator; return its new revision."""
        self.revision += 1
        created = self.items.get(key, {}).get("created_rev", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created_rev": created,
            "lease": lease,
        }
        self._record_event(self.items[key])
        return self.revision

    def remove(self, key):
        """Remove a key if it exists; watches get an event with ``compacted``."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_event({"key": key, "rev": self.revision, "compacted": True})

    def value(self, key):
        """Return the value of a key as bytes, or ``None`` if there is no such key."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def forget_history(self):
        """Drop the history: watches from an earlier revision get status 410."""
        self.history.clear()
        self.oldest_revision = self.revision

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def _record_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire_leases(self):
        now = asyncio.get_running_loop().time()
        for lease in [k for k, (_, end) in self.leases.items() if end <= now]:
            self.end_lease(lease)

    async def handle(self, request):
        """Return the response to one request, delayed by ``bytes_per_second``."""
        response = await self._handle(request)
        if self.fault == "silent":
            await asyncio.sleep(HANG_SECONDS)
        if self.bytes_per_second is not None:
            async with self.link_lock:
                await asyncio.sleep(len(response.body) / self.bytes_per_second)
        return response

    async def _handle(self, request):
        path, _, query = request.target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        self.calls.append(path)
        if self.fault == "busy":
            return _response(503)
        if self.fault == "many":
            return _response(429)
        if self.fault == "silent":
            await asyncio.sleep(HANG_SECONDS)
        self._expire_leases()
        body = orjson.loads(request.body) if request.body else {}
        operation = path.split("/")[2]
        if operation == "kv-watch":
            return await self._watch(fields)
        response = getattr(self, "_" + operation.replace("-", "_"))(path, fields, body)
        if self.fault == "lost" and request.method != "GET":
            await asyncio.sleep(HANG_SECONDS)
        return response

    def _kv_key(self, path, fields, body):
        item = self.items.get(fields["key"])
        return _response(200, {**item, "at": self.revision}) if item else _response(404)

    def _kv_range(self, path, fields, body):
        rows = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(fields["prefix"]) and key > fields.get("after", "")
        ]
        page = {"items": rows[:500], "has_more": len(rows) > 500, "at": self.revision}
        return _response(200, page)

    async def _watch(self, fields):
        after, prefix = int(fields["after"]), fields["prefix"]
        loop = asyncio.get_running_loop()
        end = loop.time() + int(fields["wait_ms"]) / 1000
        while True:
            if after < self.oldest_revision:
                return _response(410)
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            remaining = end - loop.time()
            if events or remaining <= 0:
                return _response(200, {"events": events, "at": self.revision})
            try:
                async with asyncio.timeout(min(remaining, 0.2)):
                    await self.changed.wait()
            except TimeoutError:
                self._expire_leases()

    def _kv_txn(self, path, fields, body):
        if self.refuses_writes:
            return _response(503)
        current = [self.items.get(row["key"]) for row in body["expected"]]
        for row, item in zip(body["expected"], current, strict=True):
            if (item["rev"] if item else 0) != row["rev"]:
                return _response(412, {"items": [i for i in current if i]})
        for row in body["puts"]:
            if row["key"].startswith(("op/", "servers/")):
                return _response(403)  # proxies may not write these keys
            if row["lease"] and row["lease"] not in self.leases:
                return _response(404)
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["deletes"]:
            self.remove(key)
        return _response(200, {"rev": self.revision})

    def _kv_lease(self, path, fields, body):
        lease = next(self.lease_ids)
        seconds = max(1.0, body["ttl_s_time"])
        self.leases[lease] = (seconds, asyncio.get_running_loop().time() + seconds)
        return _response(200, {"lease": lease, "ttl_s_time": seconds})

    def _kv_keep(self, path, fields, body):
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return _response(404)
        seconds = self.leases[lease][0]
        self.leases[lease] = (seconds, asyncio.get_running_loop().time() + seconds)
        return _response(200, {"ttl_s_time": seconds})

    def _kv_lease_end(self, path, fields, body):
        self.end_lease(int(path.rpartition("/")[2]))
        return _response(200)


def _response(status, body=None):
    data = b"" if body is None else orjson.dumps(body)
    return messages.Response(status, JSON_TYPE, data)
