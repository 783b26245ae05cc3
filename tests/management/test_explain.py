"""Join lines of many logs into one account, whatever state the files are in."""

import json
import pathlib
import random
import tempfile
import unittest

from lentilrouter.management import explain
from tests.management import test_cli

ID = "9c41d07be2a35f68"
# Lines as the proxies of a played day wrote them, shortened.
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
    """Read a day's lines."""

    def setUp(self):
        self.rows = [f"  12.0 n {json.dumps(row)}" for row in DAY]
        random.Random(3).shuffle(self.rows)

    def account(self, id=ID):
        lines, unread = explain.read(self.rows)
        return explain.account(lines, id, unread)

    def test_steps_of_a_call_and_of_calls_made_for_it_stand_in_order(self):
        found = self.account()
        self.assertEqual(
            [line.event for line in found.steps],
            ["offer-refused", "refused", "unconfirmed", "failed"],
        )
        self.assertEqual(found.end, "failed: it may have run")

    def test_late_confirmation_is_said_with_what_another_send_would_have_needed(self):
        # The causes of an early 504 could not be told apart from the account.
        found = explain.account(explain.read(map(json.dumps, DAY))[0], ID)
        self.assertIn(
            "  20.250 n1 no confirmation by 10.0.0.4 after 0.3004 s; 1 sends left, "
            "allowance 0.4, 3 other targets",
            explain.render(found),
        )

    def test_account_says_what_each_node_believed_then(self):
        found = self.account()
        self.assertEqual(set(found.beliefs), {"n1", "n2"})
        self.assertEqual(found.beliefs["n1"]["sheet"], "7 since 10.200")
        self.assertEqual(found.beliefs["n1"]["store"], "away since 19.000")
        self.assertEqual(found.beliefs["n1"]["proxies that did not answer"], "10.0.0.3")
        self.assertEqual(found.beliefs["n2"]["local target"], "i-2 ready")

    def test_changes_near_the_call_on_nodes_of_the_call_are_shown(self):
        events = [(line.node, line.event) for line in self.account().around]
        self.assertEqual(events, [("n1", "store-lost"), ("n1", "peer-lost")])

    # Guards against: a proxy that the store refuses, whose account of a call near that
    # time does not say so.
    def test_proxy_that_the_store_does_not_answer_is_shown(self):
        kind = "store-answers-others"
        refused = {"at": 19.2, "node": "n1", "event": kind, "reads": True}
        lines, _ = explain.read(map(json.dumps, [*DAY, refused]))
        events = {(line.node, line.event) for line in explain.account(lines, ID).around}
        self.assertIn(("n1", kind), events)

    def test_left_out_lines_are_said(self):
        self.assertIn(
            "4 lines were left out", "\n".join(explain.render(self.account()))
        )

    def test_unknown_call_has_no_steps(self):
        found = self.account("ffff")
        self.assertEqual(found.steps, [])
        self.assertEqual(found.end, "no line names it")

    def test_cut_mixed_and_damaged_lines_are_counted_and_nothing_is_lost(self):
        whole = self.account()
        cut = self.rows[0][: len(self.rows[0]) // 2]
        bad = [b"\xff\xfe{\x00", "{" * 3000, '{"at": "x"}', '{"at": 1}', "[]", "", cut]
        self.rows += bad
        found = self.account()
        self.assertEqual(found.steps, whole.steps)
        self.assertEqual(found.unread, 5)

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
    """Run the command over files."""

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
