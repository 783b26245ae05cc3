"""Commands of the ``lentilrouter`` command line that run the stand-ins."""

import functools

import anyio
import typer

from standins import platform, worker


def register(app):
    """Add the commands of this module to a typer application."""
    app.command("platform")(run_platform)
    app.command("worker")(run_worker)


def run_platform(
    address: str = typer.Option("127.0.0.1", help="IP address to listen on."),
    port: int = typer.Option(7400, help="Port to listen on."),
):
    """Run the stand-in for the platform's key-value service."""
    anyio.run(functools.partial(platform.serve, address, port))


def run_worker(
    id: str = typer.Option(..., help="Name of the worker."),
    service: str = typer.Option(..., help="Service it belongs to."),
    version: str = typer.Option("v1", help="Version it runs."),
    node: str = typer.Option(..., help="Control IP:port of the node on its host."),
    port: int = typer.Option(0, help="Port to listen on; 0 takes a free one."),
    slots: int = typer.Option(6, help="Calls it announces to run at once."),
    connections: int = typer.Option(130, help="Connections it announces to accept."),
    cold_ms: int = typer.Option(0, help="Milliseconds before it listens."),
    work_ms: float = typer.Option(2.0, help="Milliseconds that a call takes."),
):
    """Run a stand-in for a worker until the process ends."""
    options = worker.Options(
        id=id,
        service=service,
        version=version,
        node=node,
        port=port,
        slots=slots,
        connections=connections,
        cold_ms=cold_ms,
        work_ms=work_ms,
    )
    anyio.run(worker.serve, options)
