"""Who leads a move, and what is left alone."""

import asyncio
import dataclasses
import random
import types
import unittest

from lentilrouter.datapath import messages
from lentilrouter.moves import judging
from lentilrouter.proxy import directory, exchange, kvstore, moves, stewarding, views
from tests.proxy import doubles


class Services:
    """Hold an order and the move that answered it; any write is a failure."""

    def __init__(self):
        order = moves.Order("ledger", "v2", 16.0)
        scanned = asyncio.Event()
        self.registry = types.SimpleNamespace(
            orders={"ledger": (order, 14, 0.0)}, stewards={}, scanned=scanned
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
    """A proxy restarted beside an ended move read the order first and judged again."""

    def ended(self, services):
        services.bases.moves["ledger"] = moves.Move(
            "ledger", "v1", "v2", 14, moves.State.DONE, 1.0, 14.0
        )

    async def test_order_is_left_alone_until_the_moves_are_known(self):
        services = Services()
        steward = stewarding.Steward(services)
        steward.consider("ledger")
        self.assertEqual(steward.leading, {})

    async def test_steward_of_an_ended_move_writes_nothing(self):
        services = Services()
        self.ended(services)
        lead = stewarding.MoveLeader(services, "ledger", 1, 2)
        self.assertTrue(await lead._step())


class Peers:
    """Answer every message and keep what was sent, in order with the store's calls."""

    def __init__(self, sent):
        self.sent = sent

    async def send(self, peer, request, seconds):
        self.sent.append((peer, request.target, request.body))
        return messages.Replied(messages.Response(200, [], b""))


class HaltTests(unittest.IsolatedAsyncioTestCase):
    """Found a bad version while cut from the store, a steward could tell nobody."""

    def services(self, write):
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
        services.registry.view = views.View()
        services.adapter = types.SimpleNamespace(
            write_status=lambda *fields: ("status", b"{}")
        )

        async def to_store(expected, puts):
            services.sent.append(("store", "write", b""))
            return write

        services.store = types.SimpleNamespace(write=to_store)
        return services

    async def lead(self, services, verdict):
        lead = stewarding.MoveLeader(services, "ledger", 1, 2)
        lead.judge = types.SimpleNamespace(judge=lambda *fields: verdict)
        return await lead._step()

    async def test_all_proxies_hear_of_a_bad_version_before_the_store(self):
        services = self.services(kvstore.Away("cut off"))
        ended = await self.lead(services, judging.Bad("errors"))
        self.assertFalse(ended)
        told = [row[:2] for row in services.sent]
        self.assertEqual(
            told,
            [
                ("127.0.0.2:4", exchange.HALT_PATH),
                ("127.0.0.3:4", exchange.HALT_PATH),
                ("store", "write"),
            ],
        )
        self.assertIsNone(services.bases.current("ledger"))

    async def test_old_target_whose_proxy_is_slow_counts_as_at_work(self):
        # Silence of a proxy was read as "no calls there": old targets may stop at once
        # when a move is done, with the calls they run.
        services = self.services(kvstore.Written(40))
        target = directory.Target(
            "i-old", "ledger", "v1", "z1", "127.0.0.4", "127.0.0.4:4", 6, True, 1
        )
        services.directory.put(target, 0.0)
        services.hosting = types.SimpleNamespace(
            liveness=types.SimpleNamespace(target=None)
        )
        services.log.request = services.log.event

        async def silent(peer, request, seconds):
            return messages.Late("no answer in time")

        services.peers = types.SimpleNamespace(send=silent)
        lead = stewarding.MoveLeader(services, "ledger", 1, 2)
        _, busy = await lead._gather()
        self.assertEqual(busy, {"v1": 1})
        services.directory.put(dataclasses.replace(target, ready=False), 0.0)
        _, busy = await lead._gather()
        self.assertEqual(busy, {})

    async def test_next_steward_takes_a_halted_move_back(self):
        services = self.services(kvstore.Written(40))
        services.bases.halt("ledger", 14)
        ended = await self.lead(services, judging.Fine())
        self.assertTrue(ended)
        self.assertIs(services.bases.moves["ledger"].state, moves.State.TAKEN_BACK)

    async def test_what_was_written_is_told_with_where_traffic_is(self):
        services = self.services(kvstore.Written(40))
        lead = stewarding.MoveLeader(services, "ledger", 1, 2)
        move = services.bases.moves["ledger"]
        move.state = moves.State.DONE
        await lead._write(move, "all traffic moved")
        items = exchange.decode(services.sent[-1][2])
        self.assertEqual(
            [item.key for item in items],
            ["lentilrouter/bases/ledger", "lentilrouter/moves/ledger"],
        )
