"""Which moves a steward leads, how it halts a bad version, and what it broadcasts."""

import dataclasses
import random
import types
import unittest

from lentilrouter.datapath import messages
from lentilrouter.moves import judging
from lentilrouter.proxy import (
    directory,
    exchange,
    kvstore,
    moves,
    replicas,
    stewarding,
)
from tests.proxy import doubles


class Services:
    """The services that a steward needs, with one order; there is no store."""

    def __init__(self):
        order = moves.Order("ledger", "v2", 16.0)
        self.registry = types.SimpleNamespace(
            orders={"ledger": (order, 14, 0.0)},
            stewards={},
            entries=replicas.Replica(lambda change: None),
        )
        self.bases = moves.Bases()
        self.bases.base["ledger"] = "v2"
        self.log = types.SimpleNamespace(event=lambda *args, **fields: None)
        self.random = random.Random(1)
        self.clock = lambda: 30.0
        self.hosting = types.SimpleNamespace(
            liveness=types.SimpleNamespace(target=None)
        )
        self.directory = types.SimpleNamespace(
            by_service={}, versions=lambda service: {"v2"}
        )


class EndedMoveTests(unittest.IsolatedAsyncioTestCase):
    """A restarted proxy must not lead a move again that has ended.

    The failure came about as the proxy read the order before the move.
    """

    def add_ended_move(self, services):
        services.bases.moves["ledger"] = moves.Move(
            "ledger", "v1", "v2", 14, moves.State.DONE, 1.0, 14.0
        )

    async def test_order_is_not_led_until_the_moves_are_known(self):
        services = Services()
        steward = stewarding.Steward(services)
        steward.consider("ledger")
        self.assertEqual(steward.leading, {})

    async def test_steward_of_an_ended_move_writes_nothing(self):
        services = Services()
        self.add_ended_move(services)
        leader = stewarding.MoveLeader(services, "ledger", 1, 2)
        self.assertTrue(await leader._step())


class Peers:
    """Client that records requests to peers in ``sent`` and gets a 200 for each.

    ``sent`` has the writes to the store too, in the order of all requests.
    """

    def __init__(self, sent):
        self.sent = sent

    async def send(self, peer, request, seconds):
        self.sent.append((peer, request.target, request.body))
        return messages.Replied(messages.Response(200, [], b""))


class HaltTests(unittest.IsolatedAsyncioTestCase):
    """A steward that is cut off from the store must still halt a bad version."""

    def services(self, write):
        """Return services with a running move; ``write`` is the result of a write."""
        services = Services()
        services.sent = []
        services.peers = Peers(services.sent)
        services.settings = doubles.settings()
        services.bases.base["ledger"] = "v1"
        services.bases.moves["ledger"] = moves.Move(
            "ledger", "v1", "v2", 14, moves.State.RUNNING, 0.12, 8.0
        )
        services.directory = directory.Directory()
        for host in ("127.0.0.1", "127.0.0.2", "127.0.0.3"):
            services.directory.put(
                directory.Target(
                    "i", "other", "v1", "z1", host, f"{host}:4", 6, True, 1
                ),
                0.0,
            )
        services.adapter = types.SimpleNamespace(
            write_status=lambda *fields: ("status", b"{}")
        )

        async def write_to_store(expected, puts):
            services.sent.append(("store", "write", b""))
            return write

        services.store = types.SimpleNamespace(write=write_to_store)
        return services

    async def lead(self, services, verdict):
        """Take one step with a given verdict; return whether the move has ended."""
        leader = stewarding.MoveLeader(services, "ledger", 1, 2)
        leader.judge = types.SimpleNamespace(judge=lambda *fields: verdict)
        return await leader._step()

    async def test_halt_is_broadcast_to_all_proxies_before_the_store_is_written(self):
        services = self.services(kvstore.Away("cut off"))
        ended = await self.lead(services, judging.Bad("errors"))
        self.assertFalse(ended)
        requests = [row[:2] for row in services.sent]
        self.assertEqual(
            requests,
            [
                ("127.0.0.2:4", exchange.HALT_PATH),
                ("127.0.0.3:4", exchange.HALT_PATH),
                ("store", "write"),
            ],
        )
        self.assertIsNone(services.bases.current("ledger"))

    async def test_old_target_whose_proxy_is_slow_counts_as_at_work(self):
        # A missing response counted as no calls in flight. Then a move may end while
        # old targets, which may stop at once when it has ended, still run calls.
        services = self.services(kvstore.Written(40))
        target = directory.Target(
            "i-old", "ledger", "v1", "z1", "127.0.0.4", "127.0.0.4:4", 6, True, 1
        )
        services.directory.put(target, 0.0)
        services.hosting = types.SimpleNamespace(
            liveness=types.SimpleNamespace(target=None)
        )
        services.log.request = services.log.event

        async def time_out(peer, request, seconds):
            return messages.Late("no answer in time")

        services.peers = types.SimpleNamespace(send=time_out)
        leader = stewarding.MoveLeader(services, "ledger", 1, 2)
        _, busy = await leader._gather()
        self.assertEqual(busy, {"v1": 1})
        services.directory.put(dataclasses.replace(target, ready=False), 0.0)
        _, busy = await leader._gather()
        self.assertEqual(busy, {})

    async def test_next_steward_rolls_a_halted_move_back(self):
        services = self.services(kvstore.Written(40))
        services.bases.halt("ledger", 14)
        ended = await self.lead(services, judging.Fine())
        self.assertTrue(ended)
        self.assertIs(services.bases.moves["ledger"].state, moves.State.TAKEN_BACK)

    async def test_base_version_is_broadcast_before_the_finished_move(self):
        services = self.services(kvstore.Written(40))
        leader = stewarding.MoveLeader(services, "ledger", 1, 2)
        move = services.bases.moves["ledger"]
        move.state = moves.State.DONE
        await leader._write(move, "all traffic moved")
        items = exchange.decode(services.sent[-1][2])
        self.assertEqual(
            [item.key for item in items],
            ["lentilrouter/bases/ledger", "lentilrouter/moves/ledger"],
        )
