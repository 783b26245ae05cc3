"""Store back end: the platform's key-value store over HTTP."""

import base64

import httpx

from lentilrouter.store import base

HTTP_OK = 200
HTTP_NO_CONTENT = 204
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_NOT_RUN = {413, 429, 503}  # the store refused and wrote nothing


@base.BACKENDS.register("http")
class HttpStore(base.Store):
    """Client of the platform's published HTTP protocol.

    ``timeout`` limits each step of a request, in seconds; a watch adds its wait.
    """

    __slots__ = ("client", "timeout", "calls")

    def __init__(self, settings):
        self.timeout = settings.platform.timeout_seconds
        self.calls = None
        limits = httpx.Limits(max_connections=8, max_keepalive_connections=2)
        self.client = httpx.AsyncClient(
            base_url=f"http://{settings.platform.address}",
            timeout=self.timeout,
            limits=limits,
            trust_env=False,
        )

    async def get(self, key):
        """Read a key; return ``Found``, ``Missing`` or ``Unavailable``."""
        response = await self._send("GET", f"/v1/keys/{key}")
        if not isinstance(response, httpx.Response):
            return base.Unavailable(response)
        if response.status_code == HTTP_NOT_FOUND:
            return base.Missing()
        return _found(response)

    async def scan(self, prefix):
        """Return ``Found`` by key for all keys with ``prefix``, or ``Unavailable``."""
        response = await self._send("GET", "/v1/keys", params={"prefix": prefix})
        if not isinstance(response, httpx.Response):
            return base.Unavailable(response)
        if response.status_code != HTTP_OK:
            return base.Unavailable(f"status {response.status_code}")
        return {
            item["key"]: base.Found(base64.b64decode(item["value"]), item["version"])
            for item in response.json()["items"]
        }

    async def put(self, key, value, expect=None, lease=None):
        """Write a key, if ``expect`` is given only at that version.

        Return ``Written``, ``Conflict``, ``LeaseExpired``, ``Unavailable`` or
        ``OutcomeUnknown``.
        """
        params = {}
        if expect is not None:
            params["expect"] = str(expect)
        if lease is not None:
            params["lease"] = lease
        return await self._write("PUT", f"/v1/keys/{key}", params, value)

    async def delete(self, key):
        """Remove a key.

        Return ``Written``, ``Missing``, ``Unavailable`` or ``OutcomeUnknown``.
        """
        return await self._write("DELETE", f"/v1/keys/{key}", {}, b"")

    async def watch(self, key, after, seconds):
        """Wait up to ``seconds`` until the key has a version above ``after``.

        Return ``Found``, ``Unchanged`` or ``Unavailable``.
        """
        params = {"after": str(after), "wait_ms": str(int(seconds * 1000))}
        response = await self._send(
            "GET", f"/v1/watch/{key}", params=params, timeout=seconds + self.timeout
        )
        if not isinstance(response, httpx.Response):
            return base.Unavailable(response)
        if response.status_code == HTTP_NO_CONTENT:
            return base.Unchanged()
        return _found(response)

    async def grant(self, seconds):
        """Return ``Granted`` for a lease of ``seconds``, or ``Unavailable``."""
        params = {"ttl_ms": str(int(seconds * 1000))}
        response = await self._send("POST", "/v1/leases", params=params)
        if not isinstance(response, httpx.Response):
            return base.Unavailable(response)
        if response.status_code != HTTP_OK:
            return base.Unavailable(f"status {response.status_code}")
        return base.Granted(response.json()["lease"])

    async def renew(self, lease):
        """Renew a lease; return ``Granted``, ``LeaseExpired`` or ``Unavailable``."""
        response = await self._send("POST", f"/v1/leases/{lease}/renew")
        if not isinstance(response, httpx.Response):
            return base.Unavailable(response)
        if response.status_code == HTTP_GONE:
            return base.LeaseExpired()
        if response.status_code != HTTP_OK:
            return base.Unavailable(f"status {response.status_code}")
        return base.Granted(lease)

    async def revoke(self, lease):
        """End a lease and remove its keys.

        Return ``Written``, ``LeaseExpired``, ``Unavailable`` or ``OutcomeUnknown``.
        """
        return await self._write("DELETE", f"/v1/leases/{lease}", {}, b"")

    async def close(self):
        """Close the pooled connections."""
        await self.client.aclose()

    def _count(self, method):
        if self.calls is not None:
            self.calls.labels(method.lower()).inc()

    async def _send(self, method, path, **options):
        """Send a request; return the response, or text that describes the failure."""
        self._count(method)
        try:
            return await self.client.request(method, path, **options)
        except httpx.HTTPError as error:
            return f"{type(error).__name__}: {error}"

    async def _write(self, method, path, params, value):
        """Send a request that changes the store and return its outcome.

        If the request may have reached the store and no clear response came back, the
        outcome is unknown.
        """
        self._count(method)
        try:
            response = await self.client.request(
                method, path, params=params, content=value
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return base.Unavailable(f"{type(error).__name__}: {error}")
        except httpx.HTTPError as error:
            return base.OutcomeUnknown(f"{type(error).__name__}: {error}")
        if response.status_code == HTTP_OK:
            return base.Written(response.json()["version"])
        if response.status_code == HTTP_CONFLICT:
            return base.Conflict(response.json()["version"])
        if response.status_code == HTTP_GONE:
            return base.LeaseExpired()
        if response.status_code == HTTP_NOT_FOUND:
            return base.Missing()
        if response.status_code in HTTP_NOT_RUN:
            return base.Unavailable(f"status {response.status_code}")
        return base.OutcomeUnknown(f"status {response.status_code}")


def _found(response):
    if response.status_code != HTTP_OK:
        return base.Unavailable(f"status {response.status_code}")
    return base.Found(response.content, int(response.headers["x-version"]))
