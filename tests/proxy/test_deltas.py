"""Differences between sheets lead to exactly the sheet that they were made from."""

import random
import unittest

import orjson

from lentilrouter.proxy import deltas, holder, sheets

SEEDS = range(40)


def route(name, timeout=1.0, prefix=None):
    """Return a route of one service."""
    parts = (sheets.Part("ledger", 1.0),)
    return sheets.Route(
        name, "a.example", prefix or f"/{name}/", True, parts, 2, timeout, 0.5, 1
    )


def sheet(version, *routes, services=("ledger",), limits=None):
    """Return a sheet."""
    named = {name: sheets.Service(name, 50) for name in services}
    return sheets.Sheet(version, list(routes), named, limits or sheets.Limits())


def travelled(delta):
    """Return a delta after it went over the wire."""
    return deltas.decode(orjson.loads(orjson.dumps(delta.encode())))


class DeltaTests(unittest.TestCase):
    """Make, send and apply differences."""

    def assert_leads(self, old, new):
        delta = travelled(deltas.between(old, new))
        found = deltas.apply(old, delta)
        self.assertEqual(found.digest, new.digest)
        self.assertEqual(found.routes, new.routes)
        self.assertEqual(found.services, new.services)
        self.assertEqual(found.limits, new.limits)
        return delta

    def test_random_changes_in_series(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            routes = [route(f"r{number}") for number in range(12)]
            held = sheet(1, *routes)
            for version in range(2, 12):
                for _ in range(rng.randrange(4)):
                    routes.append(route(f"n{version}-{rng.random()}"))
                for _ in range(rng.randrange(3)):
                    routes.pop(rng.randrange(len(routes)))
                place = rng.randrange(len(routes))
                routes[place] = route(routes[place].name, timeout=rng.random() + 0.1)
                with self.subTest(seed=seed, version=version):
                    new = sheet(version, *routes)
                    self.assert_leads(held, new)
                    held = new

    def test_only_what_changed_travels(self):
        routes = [route(f"r{number}") for number in range(500)]
        old = sheet(1, *routes)
        routes[7] = route("r7", timeout=3.0)
        delta = self.assert_leads(old, sheet(2, *routes))
        self.assertEqual([r.name for r in delta.routes], ["r7"])
        self.assertLess(len(orjson.dumps(delta.encode())), 300)

    # Guards against: routes of one name, or in another order, that a difference of
    # names does not tell, so that two proxies answer one path differently.
    def test_what_names_do_not_tell_travels_whole(self):
        old = sheet(1, route("a"), route("b"))
        cases = {
            "order": sheet(2, route("b"), route("a")),
            "one name": sheet(2, route("a"), route("a", prefix="/b/"), route("b")),
        }
        for name, new in cases.items():
            with self.subTest(name):
                self.assertEqual(self.assert_leads(old, new).base, 0)

    def test_services_and_limits_travel(self):
        old = sheet(1, route("a"))
        more = sheets.Limits(header_bytes=77)
        self.assert_leads(old, sheet(2, route("a"), services=("ledger", "b")))
        self.assert_leads(old, sheet(2, route("a"), limits=more))

    # Guards against: a difference that is applied to another version than its base.
    def test_delta_that_does_not_fit_is_refused(self):
        one, two = sheet(1, route("a")), sheet(2, route("a"), route("b"))
        delta = deltas.between(one, two)
        other = sheet(1, route("c"))
        for held in (None, two, other):
            self.assertIsInstance(deltas.apply(held, delta), deltas.Inapplicable)
        self.assertEqual(deltas.apply(None, deltas.full(two)).digest, two.digest)

    def test_message_that_is_no_delta_raises_the_one_error(self):
        good = deltas.full(sheet(1, route("a"))).encode()
        bad_row = [*good[:3], [good[3][0][:-1]], *good[4:]]
        bad_parts = [*good[:3], [[*good[3][0][:4], [], *good[3][0][5:]]], *good[4:]]
        for fields in ([], None, 7, good[:-1], bad_row, bad_parts, {"a": 1}):
            with self.subTest(fields=fields), self.assertRaises(ValueError):
                deltas.decode(fields)


class HolderTests(unittest.TestCase):
    """What a proxy can tell those behind it."""

    def test_recent_versions_get_a_difference_and_others_everything(self):
        sheet_holder = holder.Holder()
        routes = [route(f"r{number}") for number in range(5)]
        for version in range(1, holder.EARLIER_KEPT + 4):
            routes[0] = route("r0", timeout=version)
            sheet_holder.put(sheet(version, *routes))
        newest = sheet_holder.sheet.version
        self.assertEqual(sheet_holder.delta_since(newest - 1)[0], newest - 1)
        self.assertEqual(sheet_holder.delta_since(1)[0], 0)
        self.assertEqual(sheet_holder.delta_since(0)[0], 0)
        self.assertIsNone(sheet_holder.delta_since(newest))
        self.assertIs(
            sheet_holder.delta_since(newest - 2), sheet_holder.delta_since(newest - 2)
        )
