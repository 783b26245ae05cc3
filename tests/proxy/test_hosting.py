"""What a proxy concludes from calls that did not reach the target beside it."""

import random
import time
import types
import unittest

from lentilrouter.core import outcomes
from lentilrouter.datapath import messages
from lentilrouter.platform import names
from lentilrouter.proxy import crashing, hops, hosting, liveness
from tests.proxy import doubles
from tests.proxy.test_liveness import beat

REQUEST = messages.Request("GET", "/read/1", [(b"x-request-id", b"c")])


class Workers:
    """Answer each send with one result, and say whether connections are refused."""

    def __init__(self):
        self.result = None
        self.refusing = False

    async def send(self, address, request, seconds, **options):
        return self.result

    async def refuses(self, address, seconds):
        return self.refusing

    def drop(self, address):
        """Hold no connections."""


class UnsentTests(unittest.IsolatedAsyncioTestCase):
    """Run one call at a target that was heard a moment ago."""

    def setUp(self):
        self.target_client = Workers()
        self.crashed = []
        self.services = types.SimpleNamespace(
            settings=doubles.settings(),
            clock=time.monotonic,
            random=random.Random(5),
            dialect=names,
            target_client=self.target_client,
            crashes=crashing.Crashes(),
            bases=types.SimpleNamespace(is_retired=lambda service, version: False),
            log=types.SimpleNamespace(
                event=lambda *args, **fields: None,
                request=lambda *args, **fields: None,
            ),
            target_changed=lambda: None,
            report_crash=lambda request, target: self.crashed.append(target),
        )
        self.hosting = hosting.Hosting(self.services)
        self.hosting.handle_heartbeat(beat())

    async def run_call(self, result, left):
        self.target_client.result = result
        hop = hops.Hop("i-1", "r0", left, 0.5, 0.1, 1, True, "ledger")
        return await self.hosting.run(hop, REQUEST, time.monotonic())

    async def test_target_is_not_lost_for_a_call_with_little_time(self):
        # A call with 20 ms left that this process took up late closed the gate: all
        # that waited was refused, and all proxies were told that the target is silent.
        unsent = messages.NotSent("connect: timed out")
        outcome = await self.run_call(unsent, 0.02)
        self.assertIsInstance(outcome, hops.Refused)
        self.assertIs(self.hosting.liveness.state, liveness.State.READY)
        self.assertFalse(self.hosting.gate.closed)

    async def test_target_that_refuses_or_never_takes_a_connection_is_lost(self):
        # A target that is gone must get no further calls.
        for unsent in (messages.NotSent("x", refused=True), messages.NotSent("x")):
            self.hosting.handle_heartbeat(
                beat(sequence=self.hosting.liveness.target.sequence + 1)
            )
            outcome = await self.run_call(unsent, 1.0)
            self.assertIsInstance(outcome, hops.Refused)
            self.assertIs(self.hosting.liveness.state, liveness.State.SILENT)

    async def test_only_a_refused_connection_proves_a_crash(self):
        # A full queue of connections counted as a crash; three convict the call.
        for refusing in (False, True):
            self.target_client.refusing = refusing
            outcome = await self.run_call(messages.Broken("reset"), 1.0)
            self.assertIsInstance(outcome, outcomes.Unknown)
            self.assertEqual(outcome.crashed, refusing)
            self.assertEqual(len(self.crashed), int(refusing))
