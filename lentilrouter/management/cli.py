"""Define the command line; each command is a thin layer over a library call.

Exit codes: 0 done, 1 refused or bad input, 2 wrong usage, 3 unknown or still running
(repeat the command with the same id), 4 a move was rolled back or stopped.
"""

import dataclasses
import importlib
import importlib.util
import json
import pathlib
import sys
import uuid

import anyio
import eliot
import httpx
import typer
import typer.core

import lentilrouter
from lentilrouter.conf import checks, loader
from lentilrouter.explaining import messages, rendering
from lentilrouter.management import bench, explain
from lentilrouter.node import runtime

EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
EXIT_NOT_MOVED = 4
EXIT_CODES = {
    "done": 0,
    "shown": 0,
    "refused": EXIT_REFUSED,
    "unknown": EXIT_UNKNOWN,
    "running": EXIT_UNKNOWN,
    "taken back": EXIT_NOT_MOVED,
    "stopped": EXIT_NOT_MOVED,
}
DEFAULT_NODE = "127.0.0.1:7403"
DEFAULT_PROXY = "127.0.0.1:9464"
REQUEST_SECONDS = 40.0  # longer than the node spends on one WAIT MOVE
EXPLAIN_SECONDS = 5.0  # timeout of a question to a proxy


class ExplainGroup(typer.core.TyperGroup):
    """Commands below ``explain``; an argument that names none is the id of a call."""

    def parse_args(self, ctx, args):
        """Parse the arguments, after ``call`` if they name no command."""
        if not args or args[0] not in (*self.commands, "--help"):
            args = ["call", *args]
        return super().parse_args(ctx, args)


app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Distribute routes to every proxy and move traffic between versions.",
)
explain_app = typer.Typer(
    cls=ExplainGroup,
    no_args_is_help=False,
    pretty_exceptions_enable=False,
    help="Explain one call by its log lines (ID LOG...), or where a call would go.",
)
app.add_typer(explain_app, name="explain")
NodeOption = typer.Option(DEFAULT_NODE, "--node", help="Control IP:port of any node.")
IdOption = typer.Option(None, "--id", help="Id of the command, to repeat it safely.")


def _fail(lines, code=EXIT_REFUSED):
    """Print lines to standard error and exit with ``code``."""
    for line in lines:
        typer.echo(str(line), err=True)
    raise typer.Exit(code)


def _load(path):
    """Return the settings of an INI file, or print its problems and exit with 1."""
    outcome = loader.load(path)
    if isinstance(outcome, loader.Rejected):
        _fail(outcome.problems)
    return outcome.settings


@app.command()
def version():
    """Print the version."""
    typer.echo(lentilrouter.__version__)


@app.command()
def node(settings: str = typer.Option(..., help="INI file with the settings.")):
    """Run the node of this host until SIGTERM or SIGINT."""
    loaded = _load(settings)
    eliot.to_file(sys.stderr)
    anyio.run(runtime.run_until_signal, loaded)


@app.command()
def check(
    settings: str = typer.Option(None, help="INI file of a node to check."),
    proxy: str = typer.Option(None, help="INI file of a proxy to check."),
    sheet: str = typer.Option(None, help="Sheet (JSON) to check."),
):
    """Check settings or a sheet and list every problem.

    Example: ``lentilrouter check --proxy proxy.ini``; exits with 1 if any was found.
    """
    found = checks.run(settings=settings, sheet=sheet, proxy=proxy)
    if found:
        _fail(found)
    typer.echo("no problems")


@explain_app.command("call")
def explain_call(
    id: str = typer.Argument(..., help="Request id of the call."),
    logs: list[str] = typer.Argument(None, help="Log files; standard input if none."),
    as_json: bool = typer.Option(False, "--json", help="Print one JSON object."),
):
    """Join the log lines of all proxies into one account of one call.

    Example: ``lentilrouter explain 9c41d07be2a35f68 kochi-*.log``; exits with 1 if no
    line names the call or a file cannot be read.
    """
    rows = []
    try:
        for name in logs or ():
            rows += pathlib.Path(name).read_bytes().splitlines()
    except OSError as error:
        _fail([error])
    if not logs:
        rows = sys.stdin.buffer.read().splitlines()
    lines, unread = explain.read(rows)
    found = explain.account(lines, id, unread)
    if as_json:
        typer.echo(json.dumps(explain.as_json(found), indent=1))
    else:
        typer.echo("\n".join(explain.render(found)))
    raise typer.Exit(0 if found.steps else EXIT_REFUSED)


@explain_app.command("route")
def explain_route(
    method: str = typer.Argument(..., help="Method of the call."),
    url: str = typer.Argument(..., help="URL of the call, or its path."),
    host: str = typer.Option("", help="Host name of the call, if not that of URL."),
    workspace: str = typer.Option("", help="Name of the caller's workspace."),
    proxy: str = typer.Option(DEFAULT_PROXY, help="Metrics IP:port of the proxy."),
    as_json: bool = typer.Option(False, "--json", help="Print one JSON object."),
):
    """Show where a proxy would send a call that came now, and why; sends none.

    Example: ``lentilrouter explain route GET http://a.example/read/1``; exits with 1 if
    the call would be refused or the proxy can't be reached, with 3 if the answer of the
    proxy can't be read.
    """
    question = messages.Question(method, url, host, workspace)
    answer = _question(proxy, question)
    if as_json:
        typer.echo(json.dumps(dataclasses.asdict(answer), indent=1))
    else:
        typer.echo("\n".join(rendering.render(answer)))
    raise typer.Exit(EXIT_REFUSED if answer.refusal else 0)


def _question(proxy, question):
    """Return a proxy's answer to a question, or print the failure and exit."""
    address = f"http://{proxy}{question.encode()}"
    try:
        response = httpx.get(address, timeout=EXPLAIN_SECONDS, trust_env=False)
        if response.status_code == 400:
            _fail([f"refused: {response.text}"])
        response.raise_for_status()
        return messages.decode_answer(response.content)
    except httpx.ConnectError as error:
        _fail([f"refused: {proxy} cannot be reached ({error})"])
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        _fail([f"unknown: no answer from {proxy} ({error})"], EXIT_UNKNOWN)
    return None


@app.command()
def apply(
    sheet: str = typer.Argument(..., help="Sheet (JSON) to apply."),
    node: str = NodeOption,
    id: str = IdOption,
):
    """Replace the whole sheet; nothing is changed if it has a problem."""
    try:
        data = pathlib.Path(sheet).read_bytes()
    except OSError as error:
        _fail([error])
    _send("PUT", node, "/admin/sheet", id, content=data, params={})


@app.command()
def ask(
    line: str = typer.Argument(..., help="One line, such as 'SHOW SHEET AT kochi-1'."),
    node: str = NodeOption,
    id: str = IdOption,
):
    """Run one line of the command language."""
    _send("POST", node, "/admin/command", id, json={"text": line})


@app.command()
def move(
    service: str = typer.Argument(..., help="Service whose traffic moves."),
    old: str = typer.Option(..., "--from", help="Version to move from."),
    new: str = typer.Option(..., "--to", help="Version to move to."),
    by: str = typer.Option(..., "--by", help="Time: 18:00, +90s, 2026-05-01T18:00Z."),
    node: str = NodeOption,
    id: str = IdOption,
):
    """Start a move of traffic from one version of a service to another."""
    line = f"MOVE {service} FROM {old} TO {new} BY {by}"
    _send("POST", node, "/admin/command", id, json={"text": line})


@app.command()
def wait(
    service: str = typer.Argument(..., help="Service whose move to wait for."),
    node: str = NodeOption,
):
    """Wait until a move of a service is done, taken back or stopped."""
    while True:
        answer = _request(
            "POST", node, "/admin/command", json={"text": f"WAIT MOVE {service}"}
        )
        if answer["outcome"] != "running":
            _print(answer)


def _send(method, node, path, id, **options):
    """Send a command to a node, print the answer and exit with its code.

    Without ``id`` a new one is used. ``options`` are those of ``httpx.request``.
    """
    id = id or uuid.uuid4().hex
    if "json" in options:
        options["json"]["id"] = id
    else:
        options["params"] = {"id": id}
    _print(_request(method, node, path, id, **options))


def _request(method, node, path, id="", **options):
    """Return the decoded response of a node, or print the failure and exit.

    The exit code is ``EXIT_REFUSED`` if no connection was made, so nothing was done,
    and ``EXIT_UNKNOWN`` for all other failures. ``id`` is for the text only.
    """
    try:
        response = httpx.request(
            method,
            f"http://{node}{path}",
            timeout=REQUEST_SECONDS,
            trust_env=False,
            **options,
        )
        return response.json()
    except httpx.ConnectError as error:
        _fail([f"refused: {node} cannot be reached, nothing was done ({error})"])
    except (httpx.HTTPError, ValueError) as error:
        text = f"unknown: no response from {node} ({error}); repeat it with --id {id}"
        _fail([text], EXIT_UNKNOWN)
    return None


def _print(answer):
    """Print a node's answer and exit with the code of its outcome."""
    failed = answer["outcome"] in ("refused", "unknown")
    if answer["text"]:
        typer.echo(answer["text"], err=failed)
    for problem in answer["problems"]:
        hint = f" ({problem['hint']})" if problem["hint"] else ""
        text = f"{problem['id']} {problem['where']}: {problem['message']}{hint}"
        typer.echo(text, err=True)
    id = f", id {answer['id']}" if answer["id"] else ""
    typer.echo(f"{answer['outcome']} at revision {answer['revision']}{id}", err=failed)
    raise typer.Exit(EXIT_CODES.get(answer["outcome"], EXIT_UNKNOWN))


def main():
    """Run the command line."""
    if importlib.util.find_spec("standins") is not None:
        standins = importlib.import_module("standins.commands")
        standins.register(app)
        app.add_typer(bench.app, name="bench")
    app()
