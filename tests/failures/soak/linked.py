"""Start a proxy whose connections to other proxies go through relays.

``LENTILROUTER_TEST_RELAY`` contains two ports: the peer port of the proxies and the
port of the relays. The IP addresses of connections are not changed.
"""

import os

import uvloop

from lentilrouter.platform import entry

VARIABLE = "LENTILROUTER_TEST_RELAY"


def install():
    """Patch the event loop to connect to the relay port instead of the peer port."""
    peer_port, relay_port = (int(port) for port in os.environ[VARIABLE].split())
    original = uvloop.Loop.create_connection

    async def create_connection(loop, factory, host=None, port=None, **options):
        port = relay_port if port == peer_port else port
        return await original(loop, factory, host, port, **options)

    uvloop.Loop.create_connection = create_connection


if __name__ == "__main__":
    install()
    entry.main()
