"""Check that the sheet's revision only increases, and atomically (promises 1, 2)."""

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
    """Return the empty sheet and six revisions that change, add or remove services."""
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
    # Deltas may arrive in any order and more than once.
    def test_reordered_and_repeated_deltas_never_lower_the_revision(self, pairs):
        sheets = revisions()
        sheet_holder = holder.Holder()
        for base, revision in pairs:
            if base >= revision:
                continue
            before = sheet_holder.sheet.revision
            delta = history.delta_between(sheets[base], sheets[revision])
            outcome = sheet_holder.apply(delta)
            self.assertGreaterEqual(sheet_holder.sheet.revision, before)
            if isinstance(outcome, history.Advanced):
                self.assertEqual(sheet_holder.sheet.digest, sheets[revision].digest)
        expected = sheets[sheet_holder.sheet.revision]
        self.assertEqual(sheet_holder.sheet.services, expected.services)

    # A node that missed several deltas gets them joined to one.
    def test_joined_deltas_lead_to_the_newest_sheet(self):
        sheets = revisions()
        sheet_holder = holder.Holder()
        for old, new in zip(sheets, sheets[1:], strict=False):
            sheet_holder.apply(history.delta_between(old, new))
        for start in range(1, 6):
            outcome = history.advance(sheets[start], sheet_holder.delta_since(start))
            self.assertEqual(outcome.sheet.digest, sheets[6].digest)

    # A node whose revision has no known delta gets the whole sheet.
    def test_unknown_base_gets_the_whole_sheet(self):
        sheet_holder = holder.Holder()
        sheet_holder.apply(history.delta_between(model.EMPTY, revisions()[3]))
        self.assertEqual(sheet_holder.delta_since(2).base, 0)


class AtomicityTests(unittest.TestCase):
    """A delta is applied completely or not at all."""

    def setUp(self):
        self.sheet_holder = holder.Holder()
        self.first = doubles.sheet(1, doubles.service("ledger"))
        self.sheet_holder.apply(history.delta_between(model.EMPTY, self.first))
        changed = doubles.service("ledger", {"v1": 50, "v2": 50})
        added = doubles.service("plantwatch")
        second = doubles.sheet(2, changed, added)
        self.delta = history.delta_between(self.first, second)

    def assert_refused(self, delta):
        outcome = self.sheet_holder.apply(delta)
        self.assertIsInstance(outcome, history.Invalid)
        self.assertEqual(self.sheet_holder.sheet.revision, 1)
        self.assertEqual(self.sheet_holder.sheet.services, self.first.services)
        self.assertEqual(self.sheet_holder.sheet.digest, self.first.digest)
        self.assertEqual(self.sheet_holder.refused, 1)

    def test_delta_without_a_changed_part_is_refused(self):
        parts = {"ledger": self.delta.parts["ledger"]}
        self.assert_refused(dataclasses.replace(self.delta, parts=parts))

    def test_delta_with_a_changed_byte_is_refused(self):
        parts = dict(self.delta.parts)
        parts["ledger"] = parts["ledger"].replace(b"50", b"40", 1)
        self.assert_refused(dataclasses.replace(self.delta, parts=parts))

    def test_delta_with_a_truncated_part_is_refused(self):
        parts = dict(self.delta.parts)
        parts["ledger"] = parts["ledger"][:-7]
        self.assert_refused(dataclasses.replace(self.delta, parts=parts))

    def test_delta_to_a_sheet_that_breaks_a_rule_is_refused(self):
        bad = doubles.sheet(2, doubles.service("ledger", {"v1": 90}))
        self.assert_refused(history.delta_between(self.first, bad))

    def test_complete_delta_is_applied(self):
        self.assertIsInstance(self.sheet_holder.apply(self.delta), history.Advanced)


class HeadTests(unittest.TestCase):
    # Old commands and old retired parts leave the head, whose encoding loses nothing.
    def test_head_drops_old_commands_and_retired_parts(self):
        head = history.Head()
        for number in range(1, history.RETENTION_REVISIONS + 3):
            command = history.Command(f"c{number}", number, "f")
            head = history.next_head(head, {"ledger": f"k{number}"}, [], command)
        self.assertEqual(history.load_head(history.dump_head(head)), head)
        self.assertEqual(len(head.commands), history.COMMANDS_MAX - 54)
        listed = {key for key, _ in head.retired}
        deleted = set(history.deletable_parts(head))
        following = history.next_head(
            head, {"ledger": "last"}, [], history.Command("x", 0, "")
        )
        self.assertEqual(listed - {k for k, _ in following.retired}, deleted)


if __name__ == "__main__":
    unittest.main()
