"""Stand-in of the platform's store, as PROTOCOL.md describes it, in memory."""

import asyncio
import base64
import itertools
import json
import urllib.parse

import http1

JSON = [("Content-Type", "application/json")]


class Store:
    """Items, watches, conditional writes and leases.

    ``fault`` is a function of a request that returns ``""`` or ``"down"`` (no response
    and no effect), ``"lost"`` (a write takes effect and gets no response).
    """

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.lease_ids = itertools.count(500)
        self.changed = asyncio.Event()
        self.fault = lambda request: ""
        self.server = None

    async def start(self, address):
        """Listen on ``IP:port``."""
        self.server = await http1.serve(address, self.handle)

    def put(self, key, value, lease=0):
        """Write a key as one change; return the revision."""
        self.revision += 1
        self._put(key, value, lease)
        return self.revision

    def _put(self, key, value, lease):
        created = self.items.get(key, {}).get("created_rev", self.revision)
        text = base64.b64encode(value).decode()
        self.items[key] = {
            "key": key,
            "value": text,
            "rev": self.revision,
            "created_rev": created,
            "lease": lease,
        }
        self._record(self.items[key])

    def delete(self, key):
        """Remove a key as one change."""
        if key in self.items:
            self.revision += 1
            self._delete(key)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self._record({"key": key, "rev": self.revision, "compacted": True})

    def value(self, key):
        """Return the value of a key, ``None`` if it does not exist."""
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def _record(self, event):
        self.history.append(dict(event))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _expire(self):
        now = asyncio.get_running_loop().time()
        for lease, (_, end) in list(self.leases.items()):
            if end <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        self.revision += bool(keys)
        for key in keys:
            self._delete(key)

    async def handle(self, request):
        """Return status, headers and body of the response to a request."""
        fault = self.fault(request)
        if fault == "down":
            await asyncio.sleep(3600)
        self._expire()
        path, _, query = request.target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        name = path.split("/")[2]
        if name == "kv-watch":
            status, body = await self._watch(options)
        else:
            data = json.loads(request.body) if request.body else {}
            status, body = getattr(self, "_" + name.replace("-", "_"))(
                path, options, data
            )
        if fault == "lost" or self.fault(request) == "down":
            await asyncio.sleep(3600)
        return status, JSON, json.dumps(body).encode()

    def _kv_key(self, path, options, data):
        item = self.items.get(options["key"])
        if item is None:
            return 404, {"at": self.revision}
        return 200, {**item, "at": self.revision}

    def _kv_range(self, path, options, data):
        prefix, after = options["prefix"], options.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[:500]]
        more = len(keys) > 500
        return 200, {"items": items, "has_more": more, "at": self.revision}

    async def _watch(self, options):
        prefix, after = options["prefix"], int(options["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(options["wait_ms"]) / 1000
        while True:
            self._expire()
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(min(left, 0.2)):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _kv_txn(self, path, options, data):
        rows = data.get("expected", [])
        current = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [each for each in current if each]}
        puts, deletes = data.get("puts", []), data.get("deletes", [])
        for key in [put["key"] for put in puts] + deletes:
            if key.startswith(("op/", "servers/")):
                return 403, {}
        if any(put.get("lease", 0) not in (0, *self.leases) for put in puts):
            return 404, {}
        # All entries of a call are one change.
        self.revision += bool(puts or deletes)
        for put in puts:
            value = base64.b64decode(put["value"])
            self._put(put["key"], value, put.get("lease", 0))
        for key in deletes:
            self._delete(key)
        return 200, {"rev": self.revision}

    def _kv_lease(self, path, options, data):
        lease, seconds = next(self.lease_ids), max(1.0, data["ttl_s_time"])
        end = asyncio.get_running_loop().time() + seconds
        self.leases[lease] = (seconds, end)
        return 200, {"lease": lease, "ttl_s_time": seconds}

    def _kv_keep(self, path, options, data):
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        seconds = self.leases[lease][0]
        end = asyncio.get_running_loop().time() + seconds
        self.leases[lease] = (seconds, end)
        return 200, {"ttl_s_time": seconds}

    def _kv_lease_end(self, path, options, data):
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}
