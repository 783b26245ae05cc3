"""What a proxy knows of the operator's keys, how current it is, and what it tells."""

import asyncio
import types
import unittest

from lentilrouter.datapath import messages
from lentilrouter.platform import sheets as adapter
from lentilrouter.proxy import counters, holder, kvstore, operator_state, state_messages
from tests.proxy import doubles

ORDER = "op/rollout/ledger"


def config(version, *prefixes):
    """Return the item of a configuration; its revision is ten times the version."""
    routes = [doubles.route(prefix) for prefix in prefixes]
    return kvstore.Item(
        adapter.CONFIG_KEY, doubles.config(version, *routes), version * 10
    )


class Services:
    """Hold what a state needs; the test sets the time."""

    def __init__(self):
        self.now = 100.0
        self.suspended = 0.0
        self.clock = lambda: self.now
        self.elapsed = lambda: self.now + self.suspended
        self.adapter = adapter
        self.holder = holder.Holder()
        self.counters = counters.Counters()
        self.lines = []
        self.log = types.SimpleNamespace(event=lambda k, **f: self.lines.append((k, f)))
        self.orders = []
        self.state = operator_state.OperatorState(self, self.orders.append)


def travelled(answer):
    """Return an answer after it went over the wire."""
    return state_messages.decode_response(messages.Response(200, *answer.encode()))


class StateTests(unittest.IsolatedAsyncioTestCase):
    """A reader and one that asks it."""

    def setUp(self):
        self.reader, self.other = Services(), Services()
        self.other.now = 500.0
        scan = kvstore.Scanned([config(1, "/a/")], 12)
        self.reader.state.apply_scan(scan, self.reader.now)

    async def ask(self, hold=0.0):
        asked = self.other.now
        question = self.other.state.build_request(hold)
        body = state_messages.decode_request(question.encode())
        answer = await self.reader.state.answer(body)
        return self.other.state.apply_response(travelled(answer), asked)

    async def test_first_answer_brings_everything_and_the_age(self):
        self.reader.now += 0.3
        self.assertTrue(await self.ask())
        self.assertEqual(self.other.state.version(), 1)
        self.assertEqual(self.other.state.at, 12)
        self.assertAlmostEqual(self.other.state.age(), 0.3)

    # Guards against: a proof that looks younger than it is, after a way of any length.
    async def test_age_counts_from_the_question(self):
        asked = self.other.now
        answer = self.reader.state.snapshot()
        self.other.now += 2.0
        self.other.state.apply_response(travelled(answer), asked)
        self.assertGreaterEqual(self.other.state.age(), 2.0)
        self.other.now += 1.0
        self.other.state.apply_response(travelled(answer), None)
        self.assertGreaterEqual(self.other.state.age(), 3.0)

    # Guards against: a host that was suspended, whose clock for intervals stood still:
    # it takes its sheet for current, answers 404 and vouches for it to others.
    async def test_age_counts_while_the_host_is_suspended(self):
        self.reader.suspended += 6.0
        self.assertAlmostEqual(self.reader.state.age(), 6.0)
        await self.ask()
        self.assertAlmostEqual(self.other.state.age(), 6.0)

    # Guards against: a watch that a suspension cut short, taken for one that lasted.
    async def test_watch_proves_nothing_past_its_end_after_a_suspension(self):
        asked = self.reader.elapsed()
        self.reader.suspended += 6.0
        self.reader.state.apply_changes(kvstore.Changed([], 15), asked, 0.5)
        self.assertAlmostEqual(self.reader.state.age(), 5.5)

    # Guards against: what is told by a proxy that cannot prove it counting as a proof.
    async def test_taught_sheet_is_in_force_and_proves_nothing(self):
        taught = travelled(self.reader.state.snapshot())
        self.other.state.apply_response(taught, None)
        self.assertEqual(self.other.state.version(), 1)
        self.assertEqual(self.other.state.age(), float("inf"))

    async def test_watch_without_a_change_proves_until_its_end(self):
        asked = self.reader.now
        self.reader.now += 0.6
        self.reader.state.apply_changes(kvstore.Changed([], 15), asked, 0.5)
        self.assertAlmostEqual(self.reader.state.age(), 0.1)
        self.assertEqual(self.reader.state.at, 15)
        change = kvstore.Changed([config(2, "/a/", "/b/")], 20)
        self.reader.state.apply_changes(change, asked + 0.6, 0.5)
        self.assertAlmostEqual(self.reader.state.age(), 0.0)

    # Guards against: a watch that the store cuts short, taken for one that lasted: what
    # came to the store since may be missing (issue 16, a false proof of being current).
    async def test_watch_that_was_cut_proves_nothing_past_its_question(self):
        asked = self.reader.now
        self.reader.now += 0.4
        self.reader.state.apply_changes(kvstore.Changed([], 15), asked, 0.5)
        self.assertAlmostEqual(self.reader.state.age(), 0.4)

    async def test_question_waits_for_news_and_for_nothing_longer_than_asked(self):
        await self.ask()
        asking = asyncio.create_task(self.ask(hold=5.0))
        await asyncio.sleep(0.05)
        self.assertFalse(asking.done())
        change = kvstore.Changed([config(2, "/a/", "/b/")], 20)
        self.reader.state.apply_changes(change, self.reader.now, 0.5)
        async with asyncio.timeout(1.0):
            await asking
        self.assertEqual(self.other.state.version(), 2)
        self.assertIsNotNone(self.other.holder.sheet.match("a.example", "/b/1"))
        async with asyncio.timeout(1.0):
            await self.ask(hold=0.05)

    # Guards against: a process that ends late because others wait for its answers.
    async def test_closed_state_answers_at_once_and_no_more(self):
        question = state_messages.StateRequest(12, 1, 5.0)
        waiting = asyncio.create_task(self.reader.state.answer(question))
        await asyncio.sleep(0.01)
        self.reader.state.close()
        async with asyncio.timeout(1.0):
            self.assertIsNone(await waiting)
            self.assertIsNone(await self.reader.state.answer(question))

    async def test_orders_and_removals_are_told_in_both_forms(self):
        order = kvstore.Item(ORDER, b"{}", 14)
        self.reader.state.apply_changes(kvstore.Changed([order], 14), 100.0, 0.5)
        await self.ask()
        gone = kvstore.Removed(ORDER, 16)
        self.reader.state.apply_changes(kvstore.Changed([gone], 16), 100.0, 0.5)
        await self.ask()
        self.assertEqual(
            [type(c) for c in self.other.orders], [kvstore.Item, kvstore.Removed]
        )
        # One that fell behind further than the other knows removals gets everything.
        late = Services()
        late.state.apply_scan(kvstore.Scanned([kvstore.Item(ORDER, b"{}", 5)], 6), 1.0)
        question = late.state.build_request(0.0)
        answer = travelled(await self.reader.state.answer(question))
        self.assertTrue(answer.complete)
        late.state.apply_response(answer, 1.0)
        self.assertIsInstance(late.orders[-1], kvstore.Removed)
        self.assertEqual(late.state.version(), 1)

    # Guards against: a proxy that stays on a version that no difference leads from.
    async def test_difference_that_does_not_fit_is_followed_by_the_whole(self):
        await self.ask()
        odd = self.other.holder.sheet
        odd.routes.clear()
        change = kvstore.Changed([config(2, "/a/", "/b/")], 20)
        self.reader.state.apply_changes(change, self.reader.now, 0.5)
        self.assertFalse(await self.ask())
        self.assertEqual(self.other.lines[-1][0], "sheet-unfit")
        self.assertTrue(await self.ask())
        found = self.other.holder.sheet
        self.assertEqual(found.digest, self.reader.holder.sheet.digest)

    async def test_a_view_never_goes_back(self):
        newer = kvstore.Changed([config(3, "/a/")], 30)
        await self.ask()
        old = travelled(self.reader.state.snapshot())
        self.other.state.apply_changes(newer, self.other.now, 0.5)
        self.other.state.apply_response(old, self.other.now)
        self.assertEqual(self.other.state.version(), 3)
        self.assertEqual(self.other.state.at, 30)


class MessageTests(unittest.TestCase):
    """What other writers may send in place of an answer."""

    def test_bad_messages_raise_the_one_error(self):
        bodies = [b"", b"{}", b"[1]", b"[1,2,3]", b"[1,0.1,0.1,true,[1],[],1,null]"]
        bodies += [b"[1,0.1,0.1,true,[],[[1]],1,null]"]
        bodies += [b"[1,0.1,0.1,true,[1],[],1,false,null]"]
        bodies += [b"[1,0.1,0.1,true,[],[[1]],1,false,null]"]
        bodies += [b"[1,0.1,0.1,true,[],[],1,0,null]"]
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(ValueError):
                state_messages.decode_response(messages.Response(200, [], body))
        for body in (b"", b"[1,2,3]", b'["a",1,0.5]'):
            with self.subTest(body=body), self.assertRaises(ValueError):
                state_messages.decode_request(body)

    def test_compressed_bytes_that_are_cut_raise_the_one_error(self):
        services = Services()
        prefixes = [f"/r{number}/" for number in range(50)]
        scan = kvstore.Scanned([config(1, *prefixes)], 12)
        services.state.apply_scan(scan, 1.0)
        headers, body = services.state.snapshot().encode()
        self.assertIn(state_messages.DEFLATED, headers)
        for data in (body[:-9], b"", b"\x00" * 40):
            with self.assertRaises(ValueError):
                state_messages.decode_response(messages.Response(200, headers, data))
