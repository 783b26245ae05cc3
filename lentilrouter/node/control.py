"""Serve the control port of a node.

It receives messages of other nodes, announcements of targets and administration.
"""

import orjson
from starlette import applications, responses, routing

from lentilrouter.core import problems
from lentilrouter.distribution import peers
from lentilrouter.membership import exchange, member
from lentilrouter.moves import evidence
from lentilrouter.node import admin
from lentilrouter.sheet import codec

TARGET_KEYS = {
    "id": str,
    "service": str,
    "version": str,
    "address": str,
    "slots": int,
    "connections": int,
}
SLOTS_MAX = 100_000  # of one target
# Raised while a body is decoded and used; answered with status 400.
MALFORMED = (ValueError, KeyError, TypeError, IndexError)


class Json(responses.Response):
    """A JSON response."""

    media_type = "application/json"

    def render(self, content):
        return orjson.dumps(content)


class Control:
    """Handlers of the requests on the control port."""

    def __init__(self, services):
        self.services = services
        self.admin = admin.Admin(services)

    def app(self):
        """Return the ASGI application, which counts the bytes of control messages."""
        route = routing.Route
        post = ["POST"]
        application = applications.Starlette(
            routes=[
                route("/control/exchange", self.exchange, methods=post),
                route("/control/changes", self.changes, methods=post),
                route("/control/sheet", self.sheet),
                route("/control/probe", self.probe, methods=post),
                route("/control/join", self.join, methods=post),
                route("/control/sync", self.sync, methods=post),
                route("/control/evidence", self.evidence, methods=post),
                route("/targets", self.announce, methods=post),
                route("/targets/{id}", self.withdraw, methods=["DELETE"]),
                route("/admin/sheet", self.apply, methods=["PUT"]),
                route("/admin/sheet", self.show_sheet),
                route("/admin/command", self.command, methods=post),
                route("/metrics", self.metrics),
                route("/healthz", self.healthy),
                route("/readyz", self.ready),
            ],
            exception_handlers=dict.fromkeys(MALFORMED, answer_malformed),
        )
        return ByteCounter(application, self.services.metrics)

    async def exchange(self, request):
        """Apply the exchange message of another node and respond with the own one."""
        message = orjson.loads(await request.body())
        self.services.exchanger.apply(message)
        receiver = message["me"][0]
        return Json(self.services.exchanger.build_message(receiver=receiver))

    async def changes(self, request):
        """Apply a pushed change and relay it; respond with the active revision."""
        message = orjson.loads(await request.body())
        return Json(await self.services.spreader.receive(message))

    async def sheet(self, request):
        """Respond with the delta that leads from a revision to the active sheet.

        The delta is ``null`` if the active sheet is not newer. The status is 503 while
        ``snapshots_at_once`` such requests are being served.
        """
        limiter = self.services.spreader.snapshots
        since = int(request.query_params.get("since", "0"))
        if since >= self.services.holder.sheet.revision:
            return Json({"delta": None})
        if limiter.available_tokens < 1:
            return responses.Response(status_code=503)
        async with limiter:
            delta = self.services.holder.delta_since(since)
            return Json({"delta": delta.as_json()})

    async def probe(self, request):
        """Check on behalf of another node whether a third one responds."""
        message = orjson.loads(await request.body())
        timeout = self.services.settings.membership.timeout_seconds
        reply = await self.services.peers.get(message["address"], "/healthz", timeout)
        return Json({"reached": isinstance(reply, peers.Reply)})

    async def join(self, request):
        """Add a starting node to the table and respond with the active revision.

        The response also has all known members if the node requested them.
        """
        message = orjson.loads(await request.body())
        now = self.services.clock.monotonic()
        self.services.table.merge(member.Member.from_json(message["me"]), now)
        known = self.services.table.members.values() if message["whole"] else ()
        members = [entry.as_json() for entry in known]
        return Json(
            {"members": members, "revision": self.services.holder.sheet.revision}
        )

    async def sync(self, request):
        """Respond with members in which the sender's table differs from this node's."""
        message = orjson.loads(await request.body())
        entries = self.services.table.entries_differing(
            message["buckets"], exchange.SYNC_ENTRIES_MAX
        )
        return Json({"members": [entry.as_json() for entry in entries]})

    async def evidence(self, request):
        """Store the evidence that another node summed for a running move.

        If that node rolled the move back, do so here too.
        """
        message = orjson.loads(await request.body())
        now = self.services.clock.monotonic()
        self.services.collector.report(
            message["child"],
            message["move"],
            evidence.Evidence.from_json(message["evidence"]),
            now,
        )
        if message.get("taken_back"):
            self.services.roll_back(message["move"], message["taken_back"])
        return Json({})

    async def announce(self, request):
        """Handle the announcement of a target, which repeats it as its heartbeat.

        An invalid announcement is answered with status 400 and its problems.
        """
        try:
            document = orjson.loads(await request.body())
        except orjson.JSONDecodeError as error:
            found = [problems.Problem("target.E001", "body", str(error), "send JSON")]
            return Json(_refused(found), 400)
        found = check_target(document)
        if found:
            return Json(_refused(found), 400)
        values = {key: document[key] for key in TARGET_KEYS}
        draining = bool(document.get("draining", False))
        self.services.hosting.announce(member.Target(**values, draining=draining))
        return Json({"node": self.services.table.self_id})

    async def withdraw(self, request):
        """Remove a target that leaves; respond whether it was known."""
        known = self.services.hosting.withdraw(request.path_params["id"])
        return Json({"known": known})

    async def apply(self, request):
        """Replace the sheet by the document in the body.

        A body over ``DOCUMENT_MAX_BYTES`` is refused.
        """
        data = await self._body_within(request, codec.DOCUMENT_MAX_BYTES)
        if data is None:
            found = [
                problems.Problem(
                    "sheet.E001",
                    "document",
                    "is too large",
                    f"at most {codec.DOCUMENT_MAX_BYTES} bytes",
                )
            ]
            text = "the sheet is invalid"
            answer = admin.Answer("refused", self.admin.revision, text, None, found)
            return Json(answer.as_json(), answer.status)
        command_id = request.query_params.get("id")
        answer = await self.admin.apply(data, command_id)
        return Json(answer.as_json(), answer.status)

    async def _body_within(self, request, limit):
        """Return the body of a request, or ``None`` if it has over ``limit`` bytes."""
        chunks, size = [], 0
        async for chunk in request.stream():
            size += len(chunk)
            if size <= limit:
                chunks.append(chunk)
        return b"".join(chunks) if size <= limit else None

    async def show_sheet(self, request):
        """Respond with the active sheet of this node."""
        return Json(self.admin.show_sheet().as_json())

    async def command(self, request):
        """Run one line of the command language."""
        document = orjson.loads(await request.body())
        line, command_id = document["text"], document.get("id")
        if not isinstance(line, str) or not isinstance(command_id, str | None):
            raise TypeError("text and id must be strings")
        answer = await self.admin.command(line, command_id)
        return Json(answer.as_json(), answer.status)

    async def metrics(self, request):
        """Respond with the metrics of this node."""
        self.services.update_gauges()
        return responses.PlainTextResponse(self.services.metrics.render())

    async def healthy(self, request):
        """Respond with status 200 while the process works."""
        return Json({"node": self.services.table.self_id})

    async def ready(self, request):
        """Respond with status 200 if the node accepts calls, or else 503."""
        revision = self.services.holder.sheet.revision
        ready = revision > 0 and not self.services.draining
        return Json({"ready": ready, "revision": revision}, 200 if ready else 503)


async def answer_malformed(request, error):
    """Respond with status 400 to a request whose body is malformed."""
    found = [problems.Problem("request.E001", "body", repr(error), "see the reference")]
    return Json(_refused(found), 400)


def check_target(document):
    """Return the problems of a decoded announcement; the list is empty if valid."""
    if not isinstance(document, dict):
        return [problems.Problem("target.E001", "body", "must be an object")]
    found = []
    for key, kind in TARGET_KEYS.items():
        value = document.get(key)
        if not isinstance(value, kind) or isinstance(value, bool) or not value:
            message = f"must be of type {kind.__name__}, and not empty or 0"
            found.append(problems.Problem("target.E002", key, message))
    if not found and not 1 <= document["slots"] <= SLOTS_MAX:
        found.append(
            problems.Problem("target.E003", "slots", f"must be 1 to {SLOTS_MAX}")
        )
    return found


def _refused(found):
    return {"outcome": "refused", "problems": [problem.as_json() for problem in found]}


class ByteCounter:
    """ASGI middleware that counts the bytes of control messages, headers included."""

    def __init__(self, app, metrics):
        self.app = app
        self.received = metrics.control_bytes.labels("in")
        self.sent = metrics.control_bytes.labels("out")

    async def __call__(self, scope, receive, send):
        """Handle a request; only those below ``/control/`` are counted."""
        if scope["type"] != "http" or not scope["path"].startswith("/control/"):
            await self.app(scope, receive, send)
            return
        size = len(scope["raw_path"]) + len(scope["query_string"])
        self.received.inc(peers.message_bytes(scope["headers"], size))

        async def counted_receive():
            message = await receive()
            self.received.inc(len(message.get("body", b"")))
            return message

        async def counted_send(message):
            if message["type"] == "http.response.start":
                self.sent.inc(peers.message_bytes(message["headers"], 0))
            else:
                self.sent.inc(len(message.get("body", b"")))
            await send(message)

        await self.app(scope, counted_receive, counted_send)
