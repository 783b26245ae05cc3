"""Stand-in for the platform's key-value service as nodes use it, with faults.

Proxies use another protocol, see :mod:`standins.kvstore`.

``POST /v1/faults`` sets any field of :class:`Faults` by its name. In addition,
``lapse_leases`` (bool) ends all leases once. ``GET /v1/stats`` returns the number of
requests and the size of the stored data.
"""

import base64
import collections
import dataclasses

import anyio
import hypercorn.asyncio
import hypercorn.config
from starlette import applications, responses, routing

from lentilrouter.core import clock
from lentilrouter.store import base, memory

VALUE_MAX_BYTES = 1_000_000
WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000
HTTP_TOO_MANY = 429
HTTP_UNAVAILABLE = 503
HTTP_RESPONSE_LOST = 500


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that are set.

    - ``down``: every request gets status 503.
    - ``slow_ms``: delay of each request in milliseconds.
    - ``lose_answers``: number of next writes that take effect, but get status 500.
    - ``watch_late_ms``: delay of the response to a watch in milliseconds.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    watch_late_ms: int = 0


class Meter:
    """A request counter that limits how many of each kind are admitted per second.

    ``used`` has the counts of the current second ``window``, ``totals`` those of all.
    """

    __slots__ = ("clock", "limits", "window", "used", "totals")

    def __init__(self, time):
        self.clock = time
        self.limits = {"write": WRITES_PER_SECOND, "read": READS_PER_SECOND}
        self.window = -1
        self.used = collections.Counter()
        self.totals = collections.Counter()

    def admit(self, kind):
        """Count one request; return whether it is within the limit of this second."""
        second = int(self.clock.monotonic())
        if second != self.window:
            self.window = second
            self.used.clear()
        self.used[kind] += 1
        self.totals[kind] += 1
        if self.used[kind] > self.limits[kind]:
            self.totals["limited"] += 1
            return False
        return True


class Platform:
    """A key-value service with leases and watches over HTTP."""

    def __init__(self, time=None):
        self.clock = time or clock.SystemClock()
        self.keys = memory.Keys(self.clock)
        self.faults = Faults()
        self.meter = Meter(self.clock)

    def app(self):
        """Return the ASGI application."""
        route = routing.Route
        return applications.Starlette(
            routes=[
                route("/v1/keys", self.scan),
                route("/v1/keys/{key:path}", self.get),
                route("/v1/keys/{key:path}", self.put, methods=["PUT"]),
                route("/v1/keys/{key:path}", self.delete, methods=["DELETE"]),
                route("/v1/watch/{key:path}", self.watch),
                route("/v1/leases", self.grant, methods=["POST"]),
                route("/v1/leases/{lease}", self.revoke, methods=["DELETE"]),
                route("/v1/leases/{lease}/renew", self.renew, methods=["POST"]),
                route("/v1/faults", self.set_faults, methods=["POST"]),
                route("/v1/stats", self.stats),
            ]
        )

    async def admit(self, kind):
        """Apply faults and rate limits to a request; ``kind`` is ``read`` or ``write``.

        Return an error response, or ``None`` if the request may be served.
        """
        if self.faults.slow_ms:
            await anyio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return responses.Response(status_code=HTTP_UNAVAILABLE)
        if not self.meter.admit(kind):
            return responses.Response(status_code=HTTP_TOO_MANY)
        return None

    def write_response(self, outcome):
        """Return the response to a write.

        The status is 409 on a conflict, 404 for a missing key, 410 for an expired
        lease, and 500 for the next ``lose_answers`` writes that take effect.
        """
        if isinstance(outcome, base.Written):
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return responses.Response(status_code=HTTP_RESPONSE_LOST)
            return responses.JSONResponse({"version": outcome.version})
        if isinstance(outcome, base.Conflict):
            return responses.JSONResponse({"version": outcome.version}, 409)
        if isinstance(outcome, base.Missing):
            return responses.Response(status_code=404)
        return responses.Response(status_code=410)

    async def scan(self, request):
        """Return all keys that start with a prefix, with values and versions."""
        error = await self.admit("read")
        if error:
            return error
        found = self.keys.scan(request.query_params.get("prefix", ""))
        items = [
            {"key": key, "value": base64.b64encode(item.value).decode()}
            | {"version": item.version}
            for key, item in found.items()
        ]
        return responses.JSONResponse({"items": items})

    async def get(self, request):
        """Return the value of a key, or status 404."""
        error = await self.admit("read")
        return error or read_response(self.keys.get(request.path_params["key"]))

    async def put(self, request):
        """Write a key, only at the version ``expect`` if the request has it.

        Return status 413 if the value is too large.
        """
        error = await self.admit("write")
        if error:
            return error
        value = await request.body()
        if len(value) > VALUE_MAX_BYTES:
            return responses.Response(status_code=413)
        expect = request.query_params.get("expect")
        outcome = self.keys.put(
            request.path_params["key"],
            value,
            None if expect is None else int(expect),
            request.query_params.get("lease"),
        )
        return self.write_response(outcome)

    async def delete(self, request):
        """Remove a key."""
        error = await self.admit("write")
        return error or self.write_response(
            self.keys.delete(request.path_params["key"])
        )

    async def watch(self, request):
        """Wait until the version of a key is above ``after``, for at most ``wait_ms``.

        Return the value, status 204 after ``wait_ms`` or 503 if the service is down.
        """
        error = await self.admit("read")
        if error:
            return error
        key = request.path_params["key"]
        after = int(request.query_params.get("after", "0"))
        with anyio.move_on_after(int(request.query_params["wait_ms"]) / 1000):
            while not self.faults.down:
                found = self.keys.get(key)
                if isinstance(found, base.Found) and found.version > after:
                    await anyio.sleep(self.faults.watch_late_ms / 1000)
                    return read_response(found)
                await anyio.sleep(memory.POLL_SECONDS)
        status = HTTP_UNAVAILABLE if self.faults.down else 204
        return responses.Response(status_code=status)

    async def grant(self, request):
        """Create a lease and return its id."""
        error = await self.admit("write")
        if error:
            return error
        granted = self.keys.grant(int(request.query_params["ttl_ms"]) / 1000)
        return responses.JSONResponse({"lease": granted.lease})

    async def renew(self, request):
        """Renew a lease, or return status 410 if it has expired."""
        error = await self.admit("write")
        if error:
            return error
        outcome = self.keys.renew(request.path_params["lease"])
        if isinstance(outcome, base.LeaseExpired):
            return responses.Response(status_code=410)
        return responses.JSONResponse({"lease": outcome.lease})

    async def revoke(self, request):
        """End a lease and remove its keys, or return status 410 if it has expired."""
        error = await self.admit("write")
        if error:
            return error
        ended = self.keys.end_lease(request.path_params["lease"])
        return self.write_response(base.Written(0) if ended else base.LeaseExpired())

    async def set_faults(self, request):
        """Set the given faults; return all faults."""
        changes = await request.json()
        if changes.pop("lapse_leases", False):
            for lease in list(self.keys.leases):
                self.keys.end_lease(lease)
        for name, value in changes.items():
            setattr(self.faults, name, value)
        return responses.JSONResponse(dataclasses.asdict(self.faults))

    async def stats(self, request):
        """Return the counts of requests by kind, and of keys, bytes and leases."""
        sizes = [len(item.value) for item in self.keys.entries.values()]
        return responses.JSONResponse(
            dict(self.meter.totals)
            | {"keys": len(sizes), "bytes": sum(sizes)}
            | {"leases": len(self.keys.leases)}
        )


def read_response(outcome):
    """Return the response to a read: the value, or status 404."""
    if isinstance(outcome, base.Missing):
        return responses.Response(status_code=404)
    return responses.Response(
        outcome.value, headers={"x-version": str(outcome.version)}
    )


async def serve(address, port, stop=None):
    """Run the stand-in until ``stop`` (an ``anyio.Event``) is set.

    Without ``stop``, run until cancelled.
    """
    config = hypercorn.config.Config()
    config.bind = [f"{address}:{port}"]
    config.loglevel = "CRITICAL"
    trigger = stop.wait if stop is not None else anyio.sleep_forever
    await hypercorn.asyncio.serve(Platform().app(), config, shutdown_trigger=trigger)
