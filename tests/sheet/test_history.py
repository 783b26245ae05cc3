"""Check that the sheet only moves forward, and whole (promises 1 and 2)."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from lentilrouter.distribution import holder
from lentilrouter.sheet import codec, history, model
from tests import doubles

PROFILE = hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)


def revisions():
    """Return six revisions, each changing, adding or removing a service."""
    sheets = [model.EMPTY]
    for number in range(1, 7):
        services = dict(sheets[-1].services)
        name = f"s{number % 3}"
        shares = {"v1": 100 - number, "v2": number}
        services[name] = doubles.service(name, shares)
        if number == 4:
            services.pop("s2", None)
        sheets.append(codec.build_sheet(number, services))
    return sheets


class OrderTests(unittest.TestCase):
    @PROFILE
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 5), strategies.integers(1, 6)),
            max_size=25,
        )
    )
    def test_crossed_and_repeated_deltas_never_lead_back(self, pairs):
        sheets = revisions()
        keeper = holder.Holder()
        for base, revision in pairs:
            if base >= revision:
                continue
            before = keeper.sheet.revision
            delta = history.delta_between(sheets[base], sheets[revision])
            outcome = keeper.apply(delta)
            self.assertGreaterEqual(keeper.sheet.revision, before)
            if isinstance(outcome, history.Advanced):
                self.assertEqual(keeper.sheet.digest, sheets[revision].digest)
        expected = sheets[keeper.sheet.revision]
        self.assertEqual(keeper.sheet.services, expected.services)

    def test_joined_deltas_equal_the_whole(self):
        sheets = revisions()
        keeper = holder.Holder()
        for old, new in zip(sheets, sheets[1:], strict=False):
            keeper.apply(history.delta_between(old, new))
        for start in range(1, 6):
            outcome = history.advance(sheets[start], keeper.delta_since(start))
            self.assertEqual(outcome.sheet.digest, sheets[6].digest)

    def test_unknown_start_gets_everything(self):
        keeper = holder.Holder()
        keeper.apply(history.delta_between(model.EMPTY, revisions()[3]))
        self.assertEqual(keeper.delta_since(2).base, 0)


class WholenessTests(unittest.TestCase):
    def setUp(self):
        self.keeper = holder.Holder()
        self.first = doubles.sheet(1, doubles.service("ledger"))
        self.keeper.apply(history.delta_between(model.EMPTY, self.first))
        changed = doubles.service("ledger", {"v1": 50, "v2": 50})
        added = doubles.service("plantwatch")
        second = doubles.sheet(2, changed, added)
        self.delta = history.delta_between(self.first, second)

    def refused(self, delta):
        outcome = self.keeper.apply(delta)
        self.assertIsInstance(outcome, history.Invalid)
        self.assertEqual(self.keeper.sheet.revision, 1)
        self.assertEqual(self.keeper.sheet.services, self.first.services)
        self.assertEqual(self.keeper.sheet.digest, self.first.digest)
        self.assertEqual(self.keeper.refused, 1)

    def test_missing_part(self):
        parts = {"ledger": self.delta.parts["ledger"]}
        self.refused(dataclasses.replace(self.delta, parts=parts))

    def test_changed_byte(self):
        parts = dict(self.delta.parts)
        parts["ledger"] = parts["ledger"].replace(b"50", b"40", 1)
        self.refused(dataclasses.replace(self.delta, parts=parts))

    def test_cut_part(self):
        parts = dict(self.delta.parts)
        parts["ledger"] = parts["ledger"][:-7]
        self.refused(dataclasses.replace(self.delta, parts=parts))

    def test_sheet_that_breaks_a_rule(self):
        bad = doubles.sheet(2, doubles.service("ledger", {"v1": 90}))
        self.refused(history.delta_between(self.first, bad))

    def test_whole_delta_is_accepted(self):
        self.assertIsInstance(self.keeper.apply(self.delta), history.Advanced)


class HeadTests(unittest.TestCase):
    def test_round_trip_and_retirement(self):
        head = history.Head()
        for number in range(1, history.RETENTION_REVISIONS + 3):
            command = history.Command(f"c{number}", number, "f")
            head = history.next_head(head, {"ledger": f"k{number}"}, [], command)
        self.assertEqual(history.load_head(history.dump_head(head)), head)
        self.assertEqual(len(head.commands), history.COMMANDS_MAX - 54)
        listed = {key for key, _ in head.retired}
        gone = set(history.deletable_parts(head))
        following = history.next_head(
            head, {"ledger": "last"}, [], history.Command("x", 0, "")
        )
        self.assertEqual(listed - {k for k, _ in following.retired}, gone)


if __name__ == "__main__":
    unittest.main()
