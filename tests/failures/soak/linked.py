"""Start a proxy whose connections to other proxies lead through relays.

``LENTILROUTER_TEST_RELAY`` holds two ports: the one the proxies listen on for one
another, and the one the relays listen on. Addresses stay as they are.
"""

import os

import uvloop

from lentilrouter.platform import entry

VARIABLE = "LENTILROUTER_TEST_RELAY"


def install():
    """Send connections for the port of the proxies to that of the relays."""
    peer_port, relay_port = (int(port) for port in os.environ[VARIABLE].split())
    plain = uvloop.Loop.create_connection

    async def create_connection(loop, factory, host=None, port=None, **options):
        port = relay_port if port == peer_port else port
        return await plain(loop, factory, host, port, **options)

    uvloop.Loop.create_connection = create_connection


if __name__ == "__main__":
    install()
    entry.main()
