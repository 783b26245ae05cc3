"""Test that log lines of many files, damaged ones too, make one account of a call."""

import json
import pathlib
import random
import tempfile
import unittest

from lentilrouter.management import explain
from tests.management import test_cli

ID = "9c41d07be2a35f68"
# Shortened log lines of the proxies of a mesh.
DAY = [
    {"at": 10.0, "node": "n1", "event": "start", "service": "ledger"},
    {"at": 10.2, "node": "n1", "event": "sheet", "version": 7, "revision": 3},
    {"at": 10.3, "node": "n2", "event": "target", "id": "i-2", "state": "ready"},
    {"at": 10.3, "node": "n3", "event": "target", "id": "i-3", "state": "ready"},
    {"at": 19.0, "node": "n1", "event": "store-lost", "prefix": "op/"},
    {"at": 19.5, "node": "n1", "event": "peer-lost", "host": "10.0.0.3"},
    {
        "at": 20.0,
        "node": "n1",
        "event": "offer-refused",
        "id": ID,
        "target": "i-2",
        "host": "10.0.0.2",
        "reason": "overloaded",
        "detail": "expected wait 0.236 s",
    },
    {
        "at": 20.01,
        "node": "n2",
        "event": "refused",
        "id": f"{ID}.ab",
        "reason": "overloaded",
        "detail": "x",
        "offers": 1,
        "retry_after": 0.1,
    },
    {
        "at": 20.3,
        "node": "n1",
        "event": "failed",
        "id": ID,
        "status": 504,
        "target": "",
        "detail": "the other proxy does not answer at all",
        "arrivals": 1,
        "seconds": 0.3,
    },
    {
        "at": 20.25,
        "node": "n1",
        "event": "unconfirmed",
        "id": ID,
        "host": "10.0.0.4",
        "waited": 0.3004,
        "sends_left": 1,
        "allowance": 0.4,
        "other_targets": 3,
    },
    {"at": 20.4, "node": "n1", "event": "lines-left-out", "counts": {"refused": 4}},
    {"at": 20.5, "node": "n9", "event": "sheet", "version": 8, "revision": 9},
]


class AccountTests(unittest.TestCase):
    """Read the lines in random order, each with text before its JSON object."""

    def setUp(self):
        self.rows = [f"  12.0 n {json.dumps(row)}" for row in DAY]
        random.Random(3).shuffle(self.rows)

    def account(self, id=ID):
        lines, unread = explain.read(self.rows)
        return explain.account(lines, id, unread)

    # Calls made for a call are recognized by their ids, which start with its id.
    def test_steps_of_a_call_and_of_calls_made_for_it_are_in_order(self):
        found = self.account()
        self.assertEqual(
            [line.event for line in found.steps],
            ["offer-refused", "refused", "unconfirmed", "failed"],
        )
        self.assertEqual(found.end, "failed: it may have run")

    # Guards against: an early 504 whose account does not show why it was not retried.
    def test_late_confirmation_is_described_with_the_conditions_of_a_retry(self):
        found = explain.account(explain.read(map(json.dumps, DAY))[0], ID)
        self.assertIn(
            "  20.250 n1 no confirmation from 10.0.0.4 after 0.3004 s; "
            "1 attempts left, retry budget 0.4, 3 other targets",
            explain.render(found),
        )

    # The nodes are those that wrote the steps and those of the targets named there.
    def test_account_has_the_known_state_of_each_node_involved(self):
        found = self.account()
        self.assertEqual(set(found.known_states), {"n1", "n2"})
        self.assertEqual(found.known_states["n1"]["sheet"], "7 since 10.200")
        self.assertEqual(found.known_states["n1"]["store"], "unavailable since 19.000")
        self.assertEqual(
            found.known_states["n1"]["proxies that did not answer"], "10.0.0.3"
        )
        self.assertEqual(found.known_states["n2"]["local target"], "i-2 ready")

    # A change on a node that is not involved, or long before the call, is not shown.
    def test_changes_near_the_call_on_nodes_of_the_call_are_shown(self):
        events = [(line.node, line.event) for line in self.account().around]
        self.assertEqual(events, [("n1", "store-lost"), ("n1", "peer-lost")])

    # Guards against: a store that responds to other proxies only, which the account of
    # a call near that time does not show.
    def test_store_that_does_not_respond_to_a_proxy_is_shown(self):
        kind = "store-answers-others"
        refused = {"at": 19.2, "node": "n1", "event": kind, "reads": True}
        lines, _ = explain.read(map(json.dumps, [*DAY, refused]))
        events = {(line.node, line.event) for line in explain.account(lines, ID).around}
        self.assertIn(("n1", kind), events)

    # Lines that nodes left out because of their rate limits are counted.
    def test_number_of_left_out_lines_is_shown(self):
        self.assertIn(
            "4 lines were left out", "\n".join(explain.render(self.account()))
        )

    # An id that no line names gives an account without steps.
    def test_unknown_call_has_no_steps(self):
        found = self.account("ffff")
        self.assertEqual(found.steps, [])
        self.assertEqual(found.end, "no line names it")

    # Guards against: unreadable lines that hide readable ones or are not counted.
    def test_cut_mixed_and_damaged_lines_are_counted_and_nothing_is_lost(self):
        undamaged = self.account()
        cut = self.rows[0][: len(self.rows[0]) // 2]
        bad = [b"\xff\xfe{\x00", "{" * 3000, '{"at": "x"}', '{"at": 1}', "[]", "", cut]
        self.rows += bad
        found = self.account()
        self.assertEqual(found.steps, undamaged.steps)
        self.assertEqual(found.unread, 5)

    # Random bytes are overwritten; no exception may be raised.
    def test_any_damage_leaves_the_reader_alive(self):
        rng = random.Random(11)
        for _ in range(300):
            rows = []
            for row in self.rows:
                data = bytearray(row.encode())
                for _ in range(rng.randrange(4)):
                    data[rng.randrange(len(data))] = rng.randrange(256)
                rows.append(bytes(data))
            lines, unread = explain.read(rows)
            explain.render(explain.account(lines, ID, unread))


class CommandTests(unittest.TestCase):
    """Run the ``explain`` command on files."""

    # An unknown call and a file that cannot be read end with exit code 1.
    def test_account_is_printed_and_an_unknown_call_is_an_error(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "day.log"
            path.write_text("\n".join(json.dumps(row) for row in DAY))
            code, text = test_cli.run("explain", ID, str(path))
            self.assertEqual(code, 0)
            self.assertIn("failed: it may have run", text)
            code, text = test_cli.run("explain", ID, str(path), "--json")
            self.assertEqual(json.loads(text)["end"], "failed: it may have run")
            self.assertEqual(test_cli.run("explain", "ffff", str(path))[0], 1)
            code, text = test_cli.run("explain", ID, str(path) + "x")
            self.assertEqual(code, 1)
            self.assertIn("No such file", text)
