"""Reach the platform's store over HTTP as the product's ``Store``."""

import asyncio
import base64
import urllib.parse

import orjson

from lentilrouter.core import clock
from lentilrouter.datapath import messages
from lentilrouter.proxy import kvstore

PAGE_CALLS = 2  # at work on one page
PAGE_SECONDS = 8.0  # beyond the time-out: a page of 1 MB on a link of 1 Mbit/s


class PlatformStore(kvstore.Store):
    """Translate the product's calls to the store; ``client`` sends them."""

    __slots__ = ("client", "address", "timeout", "calls", "slow")

    def __init__(self, client, address, timeout):
        self.client = client
        self.address = address
        self.timeout = timeout
        self.calls = 0
        self.slow = {}

    async def scan(self, prefix):
        """Read all items below a prefix, page by page."""
        items, after, first, waited = [], "", None, 0.0
        while True:
            query = {"prefix": prefix, **({"after": after} if after else {})}
            reply = await self._page(query)
            if reply.status != 200:
                return kvstore.Away(reply.reason)
            page = reply.body
            waited += reply.waited
            items += [_item(row) for row in page["items"]]
            # A change between two pages shows again in a watch from the first page.
            first = first or reply
            if not page["has_more"] or not page["items"]:
                age = clock.elapsed() - first.asked
                return kvstore.Scanned(items, first.body["at"], waited, age)
            after = page["items"][-1]["key"]

    async def _page(self, query):
        """Ask for a page, and once more if it has not come in time.

        Its link may be slow, or the store silent: only another call finds out which.
        So the oldest call goes on beside the next, and the first answer of both counts;
        it goes on even after this page was given up.
        """
        place = urllib.parse.urlencode(query)
        calls = [self.slow.pop(place)] if place in self.slow else []
        if calls and calls[0].done():
            reply = calls.pop().result()
            if reply.status == 200 and clock.elapsed() - reply.made < self.timeout:
                return reply
        kept = None
        try:
            while len(calls) < PAGE_CALLS:
                calls.append(self._start_page(query))
                done, _ = await asyncio.wait(
                    calls, timeout=self.timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    return done.pop().result()
            kept = self.slow[place] = calls[0]
            return _Reply(0, None, "GET /v1/kv-range: no whole answer yet", False)
        finally:
            for call in calls:
                if call is not kept:
                    call.cancel()

    def _start_page(self, query):
        page = self._call("GET", "/v1/kv-range", query, None, PAGE_SECONDS)
        return asyncio.get_running_loop().create_task(page)

    async def watch(self, prefix, after, seconds):
        """Wait for changes below a prefix that came after a revision."""
        query = {"prefix": prefix, "after": after, "wait_ms": int(seconds * 1000)}
        reply = await self._call("GET", "/v1/kv-watch", query, None, seconds)
        if reply.status == 410:
            return kvstore.HistoryGone()
        if reply.status != 200:
            return kvstore.Away(reply.reason)
        changes = [_change(event) for event in reply.body["events"]]
        return kvstore.Changed(changes, reply.body["at"], reply.waited)

    async def write(self, expected, puts, deletes=()):
        """Write all or nothing; ``expected`` maps keys to revisions, 0 for none."""
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
        if reply.status == 200:
            return kvstore.Written(reply.body["rev"])
        if reply.status == 412:
            return kvstore.Conflict()
        if reply.status == 404:
            return kvstore.LeaseEnded()
        return kvstore.Away(reply.reason, unsure=reply.unsure)

    async def grant(self, seconds):
        """Obtain a lease."""
        body = {"ttl_s_time": seconds}
        reply = await self._call("POST", "/v1/kv-lease", {}, body)
        if reply.status != 200:
            return kvstore.Away(reply.reason)
        return kvstore.Granted(reply.body["lease"], reply.body["ttl_s_time"])

    async def renew(self, lease):
        """Renew a lease."""
        reply = await self._call("POST", f"/v1/kv-keep/{lease}", {}, {})
        if reply.status == 404:
            return kvstore.LeaseEnded()
        if reply.status != 200:
            return kvstore.Away(reply.reason)
        return kvstore.Granted(lease, reply.body["ttl_s_time"])

    async def revoke(self, lease):
        """End a lease, and with it its keys."""
        reply = await self._call("DELETE", f"/v1/kv-lease-end/{lease}")
        if reply.status in (200, 204, 404):
            return kvstore.LeaseEnded()
        return kvstore.Away(reply.reason)

    async def _call(self, method, path, query=None, body=None, extra_seconds=0.0):
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query, safe="/")
        headers = [(b"host", self.address.encode())]
        data = b""
        if body is not None:
            headers += messages.JSON_TYPE
            data = orjson.dumps(body)
        self.calls += 1
        asked = clock.elapsed()
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
        unsure = response.status >= 500 and response.status != 503
        reason = f"{method} {path}: status {response.status}"
        return _Reply(response.status, parsed, reason, unsure, outcome.waited, asked)


class _Reply:
    """Hold status (0: none), decoded body, and whether a write may have happened.

    ``waited`` is the time in seconds before the first byte of the answer, ``asked`` the
    time of the call by ``clock.elapsed``, ``made`` that of its end.
    """

    __slots__ = ("status", "body", "reason", "unsure", "waited", "asked", "made")

    def __init__(self, status, body, reason, unsure, waited=0.0, asked=0.0):
        self.status = status
        self.body = body
        self.reason = reason
        self.unsure = unsure
        self.waited = waited
        self.asked = asked
        self.made = clock.elapsed()


def _item(row):
    return kvstore.Item(
        row["key"], base64.b64decode(row["value"]), row["rev"], row["lease"]
    )


def _change(event):
    # The platform calls the mark of a removed key "compacted".
    if event.get("compacted"):
        return kvstore.Removed(event["key"], event["rev"])
    return _item(event)
