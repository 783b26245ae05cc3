"""Run operators' commands; the administration API of the control port uses this."""

import dataclasses
import uuid

import anyio
import eliot

from lentilrouter.core import problems, registry
from lentilrouter.distribution import commit, peers
from lentilrouter.language import parsing
from lentilrouter.moves import commands
from lentilrouter.sheet import codec, model

STATEMENTS = registry.Registry("statement")  # handlers by name of the class
WAIT_POLL_SECONDS = 0.1  # between two checks of a move
WAIT_MAX_SECONDS = 25.0  # of one WAIT MOVE; the answer is then "running"
STATUS_OF_OUTCOME = {
    "done": 200,
    "shown": 200,
    "refused": 400,
    "unknown": 503,
    "running": 202,
}


@dataclasses.dataclass(slots=True)
class Answer:
    """The result of an operator's command.

    ``outcome`` is ``done``, ``refused`` (nothing was changed), ``unknown`` (repeat the
    command with the same id), ``shown``, ``running`` or the final state of a move.
    ``revision`` is the sheet's revision to which the result applies, ``text`` is for
    people, ``data`` is JSON-compatible, and ``id`` is the command's id, if it has one.
    """

    outcome: str
    revision: int
    text: str = ""
    data: object = None
    problems: list = dataclasses.field(default_factory=list)
    id: str = ""

    @property
    def status(self):
        """Return the HTTP status for the outcome; 200 for the final state of a move."""
        return STATUS_OF_OUTCOME.get(self.outcome, 200)

    def as_json(self):
        """Return the answer as a JSON-compatible mapping."""
        return {
            "outcome": self.outcome,
            "revision": self.revision,
            "text": self.text,
            "data": self.data,
            "problems": [problem.as_json() for problem in self.problems],
            "id": self.id,
        }


class Admin:
    """The operators' commands that this node can run.

    Every command returns an :class:`Answer`. ``services`` provides clock, settings,
    holder, committer, table, peers and spreader.
    """

    __slots__ = ("services",)

    def __init__(self, services):
        self.services = services

    @property
    def revision(self):
        """Return the revision of this node's active sheet."""
        return self.services.holder.sheet.revision

    async def apply(self, data, command_id=None):
        """Replace the whole sheet by an operator's JSON document, given as bytes.

        Nothing is changed if the document has a problem. Without ``command_id`` a new
        id is used.
        """
        desired, found = codec.read_document(data)
        if found:
            return Answer("refused", self.revision, "the sheet is invalid", None, found)
        change = commands.replace_all(desired)
        return await self.commit(command_id, data, change, "sheet applied")

    async def command(self, line, command_id=None):
        """Run one line of the command language."""
        parsed = parsing.parse(line, self.services.clock.wall())
        if isinstance(parsed, parsing.Malformed):
            problem = problems.Problem(
                "command.E002",
                f"column {parsed.column}",
                parsed.message,
                f"expected {', '.join(parsed.expected)}",
            )
            text = parsed.render(line)
            return Answer("refused", self.revision, text, None, [problem])
        statement = parsed.statement
        handler = STATEMENTS.get(type(statement).__name__)
        return await handler(self, statement, line, command_id)

    def show_sheet(self):
        """Return the answer with this node's active sheet."""
        sheet = self.services.holder.sheet
        data = {
            "node": self.services.table.self_id,
            "revision": sheet.revision,
            "digest": sheet.digest,
            "services": {
                name: codec.service_as_json(service)
                for name, service in sheet.services.items()
            },
            "taken_back_here": dict(self.services.rolled_back),
        }
        return Answer("shown", sheet.revision, _sheet_text(data), data)

    async def commit(self, command_id, fingerprint, change, done_text):
        """Commit a change to the platform and return the answer for its operator.

        ``fingerprint`` is the content of the command, as bytes: a repeated id with the
        same bytes is answered as done, with other bytes it is refused. ``change`` is a
        function as described in ``moves.commands``, and ``done_text`` is the text on
        success.
        Without ``command_id`` a new id is used.
        """
        command_id = command_id or uuid.uuid4().hex
        outcome = await self.services.committer.commit(command_id, fingerprint, change)
        if isinstance(outcome, commit.Refused):
            text = "refused, nothing was changed"
            revision = outcome.revision or self.revision
            answer = Answer("refused", revision, text, None, outcome.problems)
        elif isinstance(outcome, commit.Undecided):
            text = f"outcome unknown ({outcome.reason}); repeat it with the same id"
            answer = Answer("unknown", self.revision, text)
        else:
            if outcome.sheet is not None:
                self.services.spreader.publish(outcome.sheet)
            note = " (already done)" if outcome.repeated else ""
            answer = Answer("done", outcome.revision, done_text + note)
        answer.id = command_id
        eliot.log_message("lentilrouter:command", id=command_id, outcome=answer.outcome)
        return answer


def _sheet_text(data):
    """Return a sheet, given as in ``Admin.show_sheet``, as text for people."""
    lines = [f"sheet at {data['node']}, revision {data['revision']}"]
    for name, service in sorted(data["services"].items()):
        shares = ", ".join(f"{v} {s} %" for v, s in service["shares"].items())
        routes = ", ".join(route["path"] for route in service["routes"])
        lines.append(f"  {name}: {shares}; routes {routes}")
        if "move" in service:
            lines.append(f"    {_move_text(service['move'])}")
    return "\n".join(lines)


def _move_text(move):
    """Return a move, given as JSON-compatible mapping, as text for people."""
    text = f"move {move['old']} to {move['new']}: {move['state']}"
    if move["state"] == model.MoveState.RUNNING:
        return f"{text} at {move['permille'] / 10:g} %"
    return f"{text}: {move['reason']}" if move["reason"] else text


@STATEMENTS.register("ShowSheet")
async def _show_sheet(admin, statement, line, command_id):
    services = admin.services
    if statement.node in (None, services.table.self_id):
        return admin.show_sheet()
    entry = services.table.members.get(statement.node)
    if entry is None:
        problem = problems.Problem("command.E003", statement.node, "unknown node")
        return Answer("refused", admin.revision, "no such node", None, [problem])
    timeout = services.settings.platform.timeout_seconds
    reply = await services.peers.get(entry.control, "/admin/sheet", timeout)
    if isinstance(reply, peers.NoReply):
        text = f"{statement.node} does not respond: {reply.reason}"
        return Answer("unknown", admin.revision, text)
    body = reply.body
    return Answer(body["outcome"], body["revision"], body["text"], body["data"])


@STATEMENTS.register("ShowTargets")
async def _show_targets(admin, statement, line, command_id):
    rows = [
        {"service": t.service, "version": t.version, "target": t.id}
        | {"node": entry.id, "domain": entry.domain, "draining": t.draining}
        | {"slots": t.slots, "state": entry.state.name.lower()}
        for entry in admin.services.table.members.values()
        if entry.usable
        for t in entry.targets
        if statement.service in (None, t.service)
    ]
    rows.sort(key=lambda row: (row["service"], row["version"], row["target"]))
    text = "\n".join(
        f"{r['service']} {r['version']} {r['target']} at {r['node']} in {r['domain']}"
        + (" draining" if r["draining"] else "")
        for r in rows
    )
    return Answer("shown", admin.revision, text or "no targets are known", rows)


@STATEMENTS.register("ShowMoves")
async def _show_moves(admin, statement, line, command_id):
    rows = [
        {"service": name} | codec.move_as_json(service.move)
        for name, service in sorted(admin.services.holder.sheet.services.items())
        if service.move is not None
    ]
    text = "\n".join(f"{row['service']}: {_move_text(row)}" for row in rows)
    return Answer("shown", admin.revision, text or "no moves", rows)


@STATEMENTS.register("ShowNodes")
async def _show_nodes(admin, statement, line, command_id):
    rows = [
        {"node": entry.id, "domain": entry.domain, "state": entry.state.name.lower()}
        | {"control": entry.control, "duties": list(entry.duties)}
        for entry in sorted(admin.services.table.members.values(), key=_member_id)
    ]
    text = "\n".join(
        f"{r['node']} in {r['domain']} {r['state']} {' '.join(r['duties'])}".rstrip()
        for r in rows
    )
    return Answer("shown", admin.revision, text, rows)


def _member_id(entry):
    return entry.id


@STATEMENTS.register("StartMove")
async def _start_move(admin, statement, line, command_id):
    command_id = command_id or uuid.uuid4().hex
    move = model.Move(
        id=command_id,
        old=statement.old,
        new=statement.new,
        started=admin.services.clock.wall(),
        by=statement.by,
    )
    change = commands.start(statement.service, move)
    return await admin.commit(command_id, line.encode(), change, "move started")


@STATEMENTS.register("StopMove")
async def _stop_move(admin, statement, line, command_id):
    change = commands.stop(statement.service)
    return await admin.commit(command_id, line.encode(), change, "move stopped")


@STATEMENTS.register("WaitMove")
async def _wait_move(admin, statement, line, command_id):
    awaited = await _newest_move(admin, statement.service)
    if awaited is None:
        problem = problems.Problem("command.E004", statement.service, "has no move")
        return Answer("refused", admin.revision, "no move", None, [problem])
    with anyio.move_on_after(WAIT_MAX_SECONDS):
        while True:
            move = _active_move(admin, statement.service)
            if move is not None and move.id == awaited.id and not move.running:
                return _final_answer(admin, move)
            if move is not None and move.started > awaited.started:
                awaited = move
            await anyio.sleep(WAIT_POLL_SECONDS)
    document = codec.move_as_json(awaited)
    return Answer("running", admin.revision, _move_text(document), document)


async def _newest_move(admin, service_name):
    """Return a service's move in the platform's newest sheet, or ``None``.

    If the platform cannot be read, use this node's active sheet instead.
    """
    current = await admin.services.committer.current()
    if not isinstance(current, commit.Current):
        return _active_move(admin, service_name)
    service = current.sheet.services.get(service_name)
    return service.move if service is not None else None


def _active_move(admin, service_name):
    """Return a service's move in this node's active sheet, or ``None``."""
    service = admin.services.holder.sheet.services.get(service_name)
    return service.move if service is not None else None


def _final_answer(admin, move):
    """Return the answer for a move that has ended; its state is the outcome."""
    text = str(move.state) + (f": {move.reason}" if move.reason else "")
    return Answer(str(move.state), admin.revision, text, codec.move_as_json(move))
