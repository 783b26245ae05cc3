"""Run the command line with a network that a test can partition.

The test writes the file named by ``LENTILROUTER_TEST_CUTS``: a JSON list of ports on
this machine that are cut off. New connections to these ports hang until they time out,
and open ones are aborted, as when a link between failure domains is down.
"""

import asyncio
import json
import os
import pathlib
import sys

from lentilrouter.management import cli

POLL_SECONDS = 0.05
CUTS_PATH = pathlib.Path(os.environ["LENTILROUTER_TEST_CUTS"])


def cut_ports():
    """Return the ports that are cut off, or none if the file cannot be read."""
    try:
        return set(json.loads(CUTS_PATH.read_text()))
    except (OSError, ValueError):
        return set()


def install():
    """Patch the event loop to hang or abort connections to ports that are cut off."""
    original = asyncio.BaseEventLoop.create_connection
    open_connections = []

    async def create_connection(loop, factory, host=None, port=None, **options):
        while port in cut_ports():
            await asyncio.sleep(POLL_SECONDS)
        transport, protocol = await original(loop, factory, host, port, **options)
        open_connections.append((port, transport))
        if len(open_connections) == 1:
            loop.call_later(POLL_SECONDS, abort_cut_connections, loop)
        return transport, protocol

    def abort_cut_connections(loop):
        cut = cut_ports()
        for port, transport in list(open_connections):
            if port in cut:
                transport.abort()
            if transport.is_closing():
                open_connections.remove((port, transport))
        if open_connections:
            loop.call_later(POLL_SECONDS, abort_cut_connections, loop)

    asyncio.BaseEventLoop.create_connection = create_connection


if __name__ == "__main__":
    install()
    sys.argv[0] = "lentilrouter"
    cli.main()
