"""Client of the platform's store over HTTP."""

import asyncio
import base64
import math
import urllib.parse

import orjson

from lentilrouter.core import clock, fields
from lentilrouter.datapath import messages
from lentilrouter.proxy import kvstore

KINDS = {
    "kv-range": "scan",
    "stale": "stale scan",
    "kv-watch": "watch",
    "kv-txn": "write",
    "kv-lease": "grant",
    "kv-keep": "renew",
    "kv-lease-end": "revoke",
}
PAGE_CALLS_MAX = 2  # in flight for one page
PAGE_EXTRA_SECONDS = 8.0  # added to the timeout; 1 MB takes 8 s at 1 Mbit/s


class PlatformStore(kvstore.Store):
    """The product's store interface, implemented by requests to the platform's store.

    ``client`` sends the requests and ``timeout`` limits each one, in seconds; watches
    and pages get more. ``on_call`` is called with the kind of each request and the
    prefix that it reads, empty for other requests. ``unfinished_pages`` maps the query
    of a page to a request for it that outlasted its scan.
    """

    __slots__ = ("client", "address", "timeout", "on_call", "unfinished_pages")

    def __init__(self, client, address, timeout, on_call=lambda kind, prefix: None):
        self.client = client
        self.address = address
        self.timeout = timeout
        self.on_call = on_call
        self.unfinished_pages = {}

    async def scan(self, prefix, stale=False):
        """Read all items below a prefix by pages; return ``Scanned`` or ``Away``.

        With ``stale``, the items may be seconds old, and the call costs a tenth.
        """
        items, after, first_at, waited = [], "", None, 0.0
        sent_at = math.inf
        options = {"prefix": prefix, **({"stale_read": 1} if stale else {})}
        while True:
            query = {**options, **({"after": after} if after else {})}
            reply = await self._fetch_page(query)
            if reply.status != 200:
                return kvstore.Away(reply.reason)
            try:
                page = fields.Fields(reply.body)
                rows = [_decode_item(row) for row in page.rows("items")]
                at, has_more = page.integer("at"), page.flag("has_more")
            except ValueError as error:
                return kvstore.Away(f"malformed page: {error}")
            waited += reply.waited
            items += rows
            # A watch from the first page's revision also returns what changed between
            # two pages.
            if first_at is None:
                first_at = at
            # A later page may be the response to an earlier request.
            sent_at = min(sent_at, reply.sent_at)
            if not has_more or not rows:
                age = clock.elapsed() - sent_at
                return kvstore.Scanned(items, first_at, waited, age)
            after = rows[-1].key

    async def _fetch_page(self, query):
        """Request a page, and again if it did not arrive in time; return ``_Reply``.

        Either the link is slow or the store does not respond, and only a second request
        can show which. The first request therefore continues in parallel, and the first
        response of the two is used. If both time out, the status of the result is 0,
        and the first request continues: the next scan uses its response, unless that is
        older than ``timeout`` by then.
        """
        page_key = urllib.parse.urlencode(query)
        calls = (
            [self.unfinished_pages.pop(page_key)]
            if page_key in self.unfinished_pages
            else []
        )
        if calls and calls[0].done():
            reply = calls.pop().result()
            if (
                reply.status == 200
                and clock.elapsed() - reply.received_at < self.timeout
            ):
                return reply
        unfinished = None
        try:
            while len(calls) < PAGE_CALLS_MAX:
                calls.append(self._start_page(query))
                done, _ = await asyncio.wait(
                    calls, timeout=self.timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    return done.pop().result()
            unfinished = self.unfinished_pages[page_key] = calls[0]
            return _Reply(0, None, "GET /v1/kv-range: no complete response yet", False)
        finally:
            for call in calls:
                if call is not unfinished:
                    call.cancel()

    def _start_page(self, query):
        """Return a running task that requests a page and results in ``_Reply``."""
        page = self._call("GET", "/v1/kv-range", query, None, PAGE_EXTRA_SECONDS)
        return asyncio.get_running_loop().create_task(page)

    async def watch(self, prefix, after, seconds):
        """Wait up to ``seconds`` for changes below a prefix after a revision.

        Return ``Changed``, without changes if there were none, ``HistoryGone`` or
        ``Away``.
        """
        query = {"prefix": prefix, "after": after, "wait_ms": int(seconds * 1000)}
        reply = await self._call("GET", "/v1/kv-watch", query, None, seconds)
        if reply.status == 410:
            return kvstore.HistoryGone()
        if reply.status != 200:
            return kvstore.Away(reply.reason)
        try:
            body = fields.Fields(reply.body)
            changes = [_decode_change(event) for event in body.rows("events")]
            return kvstore.Changed(changes, body.integer("at"), reply.waited)
        except ValueError as error:
            return kvstore.Away(f"malformed events: {error}")

    async def write(self, expected, puts, deletes=()):
        """Apply ``puts`` and ``deletes`` atomically if the expected revisions match.

        ``expected`` maps keys to revisions, 0 for keys that must not exist. Return
        ``Written``, ``Conflict``, ``LeaseEnded`` or ``Away``.
        """
        body = {
            "expected": [{"key": key, "rev": rev} for key, rev in expected.items()],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "deletes": list(deletes),
        }
        reply = await self._call("POST", "/v1/kv-txn", {}, body)
        try:
            if reply.status == 200:
                return kvstore.Written(fields.Fields(reply.body).integer("rev"))
            if reply.status == 412:
                rows = fields.Fields(reply.body).rows("items", default=())
                return kvstore.Conflict(tuple(_decode_item(row) for row in rows))
        except ValueError as error:
            return kvstore.Away(f"malformed result: {error}", unsure=True)
        if reply.status == 404:
            return kvstore.LeaseEnded()
        return kvstore.Away(reply.reason, unsure=reply.outcome_unknown)

    async def grant(self, seconds):
        """Return ``Granted`` for a lease of about ``seconds``, or ``Away``."""
        body = {"ttl_s_time": seconds}
        reply = await self._call("POST", "/v1/kv-lease", {}, body)
        if reply.status != 200:
            return kvstore.Away(reply.reason)
        return _decode_grant(reply.body)

    async def renew(self, lease):
        """Renew a lease; return ``Granted``, ``LeaseEnded`` or ``Away``."""
        reply = await self._call("POST", f"/v1/kv-keep/{lease}", {}, {})
        if reply.status == 404:
            return kvstore.LeaseEnded()
        if reply.status != 200:
            return kvstore.Away(reply.reason)
        return _decode_grant(reply.body, lease)

    async def revoke(self, lease):
        """End a lease and remove its keys; return ``LeaseEnded`` or ``Away``."""
        reply = await self._call("DELETE", f"/v1/kv-lease-end/{lease}")
        if reply.status in (200, 204, 404):
            return kvstore.LeaseEnded()
        return kvstore.Away(reply.reason)

    async def _call(self, method, path, query=None, body=None, extra_seconds=0.0):
        """Send a request with a JSON body and return its ``_Reply``."""
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query, safe="/")
        headers = [(b"host", self.address.encode())]
        data = b""
        if body is not None:
            headers += messages.JSON_TYPE
            data = orjson.dumps(body)
        self._count(path, query or {})
        sent_at = clock.elapsed()
        request = messages.Request(method, target, headers, data)
        outcome = await self.client.send(
            self.address, request, self.timeout + extra_seconds
        )
        if not isinstance(outcome, messages.Replied):
            sent = not isinstance(outcome, messages.NotSent)
            return _Reply(0, None, f"{method} {path}: {outcome.detail}", sent)
        response = outcome.response
        try:
            parsed = orjson.loads(response.body) if response.body else {}
        except ValueError:
            return _Reply(0, None, f"{method} {path}: not JSON", True)
        outcome_unknown = response.status >= 500 and response.status != 503
        reason = f"{method} {path}: status {response.status}"
        return _Reply(
            response.status, parsed, reason, outcome_unknown, outcome.waited, sent_at
        )

    def _count(self, path, query):
        """Report a request by its kind and the prefix that it reads."""
        kind = path.split("/")[2]
        if "stale_read" in query:
            kind = "stale"
        self.on_call(KINDS[kind], query.get("prefix", ""))


class _Reply:
    """Response of the store, or failure to get one.

    ``status`` is the HTTP status, 0 without a valid response, and ``body`` the decoded
    body. ``reason`` describes the result for the log. ``outcome_unknown`` is true if a
    write may have taken effect. ``waited`` are the seconds until the first byte of the
    response, ``sent_at`` and ``received_at`` times of ``clock.elapsed``.
    """

    __slots__ = (
        "status",
        "body",
        "reason",
        "outcome_unknown",
        "waited",
        "sent_at",
        "received_at",
    )

    def __init__(self, status, body, reason, outcome_unknown, waited=0.0, sent_at=0.0):
        self.status = status
        self.body = body
        self.reason = reason
        self.outcome_unknown = outcome_unknown
        self.waited = waited
        self.sent_at = sent_at
        self.received_at = clock.elapsed()


def _decode_grant(body, lease=None):
    """Return the ``Granted`` in a body, of a known lease if that is given, or ``Away``.

    Raise no error if the body is malformed.
    """
    try:
        values = fields.Fields(body)
        number = values.integer("lease") if lease is None else lease
        return kvstore.Granted(number, values.number("ttl_s_time"))
    except ValueError as error:
        return kvstore.Away(f"malformed lease: {error}")


def _decode_item(row):
    """Return the ``Item`` in a row; raise ``ValueError`` if it is malformed."""
    item = fields.Fields(row)
    return kvstore.Item(
        item.text("key"),
        kvstore.decode_value(item.text("value", empty=True, longest=None)),
        item.integer("rev"),
        item.integer("lease", default=0),
    )


def _decode_change(event):
    """Return the ``Item`` or ``Removed`` in a row; ``ValueError`` if malformed."""
    change = fields.Fields(event)
    # The platform calls the mark of a removed key "compacted".
    if change.flag("compacted", default=False):
        return kvstore.Removed(change.text("key"), change.integer("rev"))
    return _decode_item(event)
