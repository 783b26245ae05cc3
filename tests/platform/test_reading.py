"""Check decoding of the operator's values and of messages of targets."""

import json
import unittest

from lentilrouter.datapath import messages
from lentilrouter.platform import heartbeats, sheets
from lentilrouter.proxy import liveness, moves
from tests.proxy import doubles


class SheetTests(unittest.TestCase):
    """Stored configurations, orders and the state of moves."""

    def test_all_fields_of_a_route_are_read(self):
        split = [{"service": "ledger", "weight": 90}, {"service": "b", "weight": 10}]
        spec = doubles.route(kind="upload", split=split)
        del spec["service"]
        value = doubles.config(0x1C, spec, services=("ledger", "b"))
        sheet = sheets.read_sheet(value)
        route = sheet.match("a.example", "/read/x")
        self.assertEqual(sheet.version, 28)
        self.assertFalse(route.safe)
        self.assertEqual([part.weight for part in route.parts], [90, 10])
        self.assertEqual(sheet.limits.body_bytes, 100000)

    def test_invalid_configurations_are_refused_with_a_reason(self):
        good = json.loads(doubles.config(7, doubles.route()))
        cases = {
            "kind": {"kind": "sometimes"},
            "attempts": {"attempts": 0},
            "service": {"service": "unknown"},
            "prefix": {"prefix": "/read"},
            "timeout": {"timeout_s": -1},
            "type": {"goal_s": "soon"},
        }
        for name, change in cases.items():
            with self.subTest(name):
                bad = json.loads(json.dumps(good))
                table = bad["routes"]
                for field, value in change.items():
                    table["rows"][0][table["cols"].index(field)] = value
                result = sheets.read_sheet(json.dumps(bad).encode())
                self.assertIsInstance(result, sheets.Unreadable)
                self.assertTrue(result.reason)
        short = json.loads(json.dumps(good))
        short["routes"]["rows"][0].pop()
        self.assertIsInstance(
            sheets.read_sheet(json.dumps(short).encode()), sheets.Unreadable
        )
        for value in (b"", b"{", b"[]", b"7", b"\xff\xfe", doubles.config(7)[:-9]):
            self.assertIsInstance(sheets.read_sheet(value), sheets.Unreadable)

    def test_orders_are_read_and_the_state_of_a_move_is_written(self):
        order = sheets.read_order(b'{"service":"ledger","to":"v2","over_s":12}')
        self.assertEqual(order, moves.Order("ledger", "v2", 12.0))
        self.assertIsInstance(sheets.read_order(b'{"to":1}'), sheets.Unreadable)
        key, value = sheets.write_status("ledger", "v2", moves.State.TAKEN_BACK)
        self.assertEqual(key, "status/rollout/ledger")
        self.assertEqual(json.loads(value)["state"], "rolled_back")


class HeartbeatTests(unittest.TestCase):
    """Heartbeats and leave messages."""

    GOOD = {
        "addr": "10.0.0.1:80",
        "born": 17,
        "info": {"service": "ledger", "version": "v1", "zone": "z", "slots": 6},
        "status": {"state": "ready", "seq": 4, "cold_left_s": 1.5},
    }

    def read(self, body, call="instances.beat", id="i-1"):
        target = f"/v1/rpc?call={call}&of={id}"
        return heartbeats.read(messages.Request("POST", target, [], body))

    def test_valid_heartbeat_is_read(self):
        message = self.read(json.dumps(self.GOOD).encode())
        self.assertEqual((message.id, message.born, message.sequence), ("i-1", 17, 4))
        self.assertIs(message.state, liveness.State.READY)

    def test_leave_message_is_read(self):
        message = self.read(b'{"born":17}', "instances.leave")
        self.assertEqual(message, liveness.Leave("i-1", 17))
        self.assertEqual(self.read(b"", "instances.leave").born, 0)

    def test_invalid_messages_are_refused(self):
        changes = [
            ("status", "state", "asleep"),
            ("status", "seq", "4"),
            ("status", "seq", True),
            ("info", "slots", 6.5),
            ("info", "service", 7),
            ("info", "version", None),
        ]
        for section, field, value in changes:
            bad = json.loads(json.dumps(self.GOOD))
            bad[section][field] = value
            with self.subTest(field=field, value=value):
                message = self.read(json.dumps(bad).encode())
                self.assertIsInstance(message, heartbeats.Unreadable)
        for body in (b"", b"{", b"[1]", b'"x"', b"\xff", b'{"info":{}}'):
            self.assertIsInstance(self.read(body), heartbeats.Unreadable)
        self.assertIsInstance(self.read(b"{}", "other"), heartbeats.Unreadable)
        self.assertIsInstance(self.read(b"{}", id=""), heartbeats.Unreadable)
