"""Replication of the store's keys from one replica to another."""

import random
import unittest

from lentilrouter.proxy import kvstore, replicas

KEYS = [f"k{number}" for number in range(6)]


def item(key, revision):
    """Return an item whose value names its revision."""
    return kvstore.Item(key, b"%d" % revision, revision)


def round_trip(update):
    """Return an update after it was encoded and decoded."""
    return replicas.decode(update.encode())


class ReplicaTests(unittest.TestCase):
    """One replica reads the store, another one gets its updates."""

    def setUp(self):
        self.changes = []
        self.source = replicas.Replica(lambda change: None, epoch=5)
        self.other = replicas.Replica(self.changes.append, epoch=6)
        self.mark = (0, 0)

    def update(self):
        """Send an update to the other replica; return it."""
        update = round_trip(self.source.build_update(self.other.at, self.mark))
        self.other.apply_update(update)
        self.mark = update.mark
        return update

    def test_first_update_is_complete_and_later_ones_are_not(self):
        self.source.apply_scan(kvstore.Scanned([item("a", 3), item("b", 4)], 9))
        self.assertTrue(self.update().complete)
        self.source.apply_watch(kvstore.Changed([item("b", 11)], 11))
        later = self.update()
        self.assertFalse(later.complete)
        self.assertEqual([each.key for each in later.items], ["b"])
        self.assertEqual(self.other.at, 11)

    # Guards against: an announced change that is sent again with each update until the
    # store's watch has brought it too.
    def test_announced_change_is_sent_once(self):
        self.source.apply_scan(kvstore.Scanned([item("a", 3)], 9))
        self.update()
        self.source.apply(item("a", 20))
        self.assertTrue(self.source.has_news(self.mark))
        self.assertEqual([each.revision for each in self.update().items], [20])
        self.assertFalse(self.source.has_news(self.mark))
        self.assertEqual(self.update().items, [])

    # Guards against: an announced change below the revision that the other replica has.
    def test_announced_change_with_an_older_revision_is_sent(self):
        self.source.apply_scan(kvstore.Scanned([], 30))
        self.update()
        self.source.apply(item("late", 20))
        self.assertEqual([each.key for each in self.update().items], ["late"])

    def test_mark_of_an_earlier_process_gets_all_changes(self):
        self.source.apply_scan(kvstore.Scanned([item("a", 3)], 9))
        self.update()
        self.source = replicas.Replica(lambda change: None, epoch=8)
        self.source.apply_scan(kvstore.Scanned([item("c", 12)], 14))
        self.assertTrue(self.update().complete)
        self.assertEqual(set(self.other.items), {"c"})

    def test_removals_are_sent_as_changes(self):
        self.source.apply_scan(kvstore.Scanned([item("a", 3), item("b", 4)], 9))
        self.update()
        self.source.apply(kvstore.Removed("a", 12))
        self.update()
        self.assertEqual(set(self.other.items), {"b"})
        self.assertEqual(self.changes[-1], kvstore.Removed("a", 12))

    def test_older_changes_are_ignored(self):
        self.assertTrue(self.other.apply(item("a", 7)))
        self.assertFalse(self.other.apply(item("a", 6)))
        self.assertFalse(self.other.apply(kvstore.Removed("a", 7)))
        self.assertEqual(len(self.changes), 1)

    def test_other_replica_has_the_same_items_after_any_changes(self):
        randomness = random.Random(11)
        revision = 10
        self.source.apply_scan(kvstore.Scanned([], revision))
        for _ in range(400):
            revision += 1
            key = randomness.choice(KEYS)
            removed = randomness.random() < 0.3
            change = kvstore.Removed(key, revision) if removed else item(key, revision)
            if randomness.random() < 0.5:
                self.source.apply(change)
            else:
                self.source.apply_watch(kvstore.Changed([change], revision))
            if randomness.random() < 0.4:
                self.update()
                self.assertEqual(self.other.items, self.source.items)

    def test_malformed_updates_raise_value_error(self):
        for fields in (
            None,
            [],
            [1, True, [], []],
            [1, True, [], [], [1]],
            [1, True, [[1]], [], [0, 0]],
            [1, True, [], [["a", "b"]], [0, 0]],
            [1, 1, [], [], [0, 0]],
        ):
            with self.subTest(fields=fields), self.assertRaises(ValueError):
                replicas.decode(fields)
