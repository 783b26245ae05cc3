"""Stand-in of the platform's key-value store."""

import asyncio
import base64
import itertools
import json
import urllib.parse

from common import http

ANSWER_SECONDS = 0.004
JSON_TYPE = {"Content-Type": "application/json"}


class Store:
    """Items, watches, conditional writes and leases, in memory."""

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.history = []
        self.leases = {}
        self.lease_ids = itertools.count(77000)
        self.server = http.Server(self._handle)

    async def start(self, address):
        """Listen on ``IP:port``."""
        await self.server.start(address)

    def put(self, key, value, lease=0):
        """Write a key without a condition; return its revision."""
        self.revision += 1
        earlier = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created_rev": earlier["created_rev"] if earlier else self.revision,
            "lease": lease,
        }
        self.history.append(self.items[key])
        return self.revision

    def remove(self, key):
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "rev": self.revision, "compacted": True}
            self.history.append(event)

    def value(self, key):
        """Return the value of a key, or ``None``."""
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def keys(self, prefix):
        """Return the keys below a prefix, in order."""
        return sorted(key for key in self.items if key.startswith(prefix))

    async def _handle(self, request):
        method, target = request.start[:2]
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        await asyncio.sleep(ANSWER_SECONDS)
        self._end_leases()
        status, answer = await self._answer(method, path, fields, body)
        return status, JSON_TYPE, json.dumps(answer).encode()

    async def _answer(self, method, path, fields, body):
        name, _, id = path.removeprefix("/v1/").partition("/")
        if name == "kv-key":
            item = self.items.get(fields["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if name == "kv-range":
            after = fields.get("after", "")
            keys = [key for key in self.keys(fields["prefix"]) if key > after]
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > len(items)
            return 200, {"items": items, "has_more": more, "at": self.revision}
        if name == "kv-watch":
            return await self._watch(fields)
        if name == "kv-txn":
            return self._write(body)
        return self._lease(name, id, body)

    async def _watch(self, fields):
        loop = asyncio.get_running_loop()
        end = loop.time() + int(fields["wait_ms"]) / 1000
        prefix, after = fields["prefix"], int(fields["after"])
        while True:
            events = [
                event
                for event in self.history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= end:
                return 200, {"events": events, "at": self.revision}
            await asyncio.sleep(0.005)
            self._end_leases()

    def _write(self, body):
        rows = body["expected"]
        current = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, current, strict=True):
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item for item in current if item]}
        for row in body["puts"]:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row["lease"] and row["lease"] not in self.leases:
                return 404, {}
        for row in body["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in body["deletes"]:
            self.remove(key)
        return 200, {"rev": self.revision}

    def _lease(self, name, id, body):
        now = asyncio.get_running_loop().time()
        if name == "kv-lease":
            lease, seconds = next(self.lease_ids), max(1.0, body["ttl_s_time"])
            self.leases[lease] = (seconds, now + seconds)
            return 200, {"lease": lease, "ttl_s_time": seconds}
        lease = int(id)
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        seconds = self.leases[lease][0]
        self.leases[lease] = (seconds, now + seconds)
        return 200, {"ttl_s_time": seconds}

    def _end_leases(self):
        now = asyncio.get_running_loop().time()
        for lease in [each for each, (_, end) in self.leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
