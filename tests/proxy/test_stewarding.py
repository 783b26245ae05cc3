"""Who leads a move, and what is left alone."""

import asyncio
import random
import types
import unittest

from lentilrouter.proxy import moves, stewarding


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
        self.hosting = types.SimpleNamespace(belief=types.SimpleNamespace(target=None))
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
        steward.notice("ledger")
        self.assertEqual(steward.leading, {})

    async def test_steward_of_an_ended_move_writes_nothing(self):
        services = Services()
        self.ended(services)
        lead = stewarding.Lead(services, "ledger", 1, 2)
        self.assertTrue(await lead._step())
