"""Deltas between sheets result in exactly the sheet from which they were made."""

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


def round_trip(delta):
    """Return a delta after it was encoded and decoded."""
    return deltas.decode(orjson.loads(orjson.dumps(delta.encode())))


class DeltaTests(unittest.TestCase):
    """Compute, encode and apply deltas."""

    def assert_delta_gives(self, old, new):
        """Check that the delta from ``old`` gives ``new``; return the delta."""
        delta = round_trip(deltas.between(old, new))
        found = deltas.apply(old, delta)
        self.assertEqual(found.digest, new.digest)
        self.assertEqual(found.routes, new.routes)
        self.assertEqual(found.services, new.services)
        self.assertEqual(found.limits, new.limits)
        return delta

    def test_deltas_of_random_successive_versions(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            routes = [route(f"r{number}") for number in range(12)]
            current = sheet(1, *routes)
            for version in range(2, 12):
                for _ in range(rng.randrange(4)):
                    routes.append(route(f"n{version}-{rng.random()}"))
                for _ in range(rng.randrange(3)):
                    routes.pop(rng.randrange(len(routes)))
                index = rng.randrange(len(routes))
                routes[index] = route(routes[index].name, timeout=rng.random() + 0.1)
                with self.subTest(seed=seed, version=version):
                    new = sheet(version, *routes)
                    self.assert_delta_gives(current, new)
                    current = new

    def test_delta_contains_only_changed_routes(self):
        routes = [route(f"r{number}") for number in range(500)]
        old = sheet(1, *routes)
        routes[7] = route("r7", timeout=3.0)
        delta = self.assert_delta_gives(old, sheet(2, *routes))
        self.assertEqual([r.name for r in delta.routes], ["r7"])
        self.assertLess(len(orjson.dumps(delta.encode())), 300)

    # Guards against: two proxies that route one path differently, since a delta by name
    # cannot express routes of the same name or a new order of routes.
    def test_changes_that_names_cannot_express_are_sent_as_a_full_sheet(self):
        old = sheet(1, route("a"), route("b"))
        cases = {
            "order": sheet(2, route("b"), route("a")),
            "one name": sheet(2, route("a"), route("a", prefix="/b/"), route("b")),
        }
        for name, new in cases.items():
            with self.subTest(name):
                self.assertEqual(self.assert_delta_gives(old, new).base, 0)

    def test_delta_contains_changed_services_and_limits(self):
        old = sheet(1, route("a"))
        more = sheets.Limits(header_bytes=77)
        self.assert_delta_gives(old, sheet(2, route("a"), services=("ledger", "b")))
        self.assert_delta_gives(old, sheet(2, route("a"), limits=more))

    # Guards against: a delta that is applied to another sheet than its base.
    def test_delta_for_another_base_is_refused(self):
        one, two = sheet(1, route("a")), sheet(2, route("a"), route("b"))
        delta = deltas.between(one, two)
        other = sheet(1, route("c"))
        for current in (None, two, other):
            self.assertIsInstance(deltas.apply(current, delta), deltas.Inapplicable)
        self.assertEqual(deltas.apply(None, deltas.full(two)).digest, two.digest)

    def test_malformed_delta_raises_value_error(self):
        good = deltas.full(sheet(1, route("a"))).encode()
        bad_row = [*good[:3], [good[3][0][:-1]], *good[4:]]
        bad_parts = [*good[:3], [[*good[3][0][:4], [], *good[3][0][5:]]], *good[4:]]
        for fields in ([], None, 7, good[:-1], bad_row, bad_parts, {"a": 1}):
            with self.subTest(fields=fields), self.assertRaises(ValueError):
                deltas.decode(fields)


class HolderTests(unittest.TestCase):
    """Deltas that a proxy can send to proxies with older versions."""

    def test_recent_versions_get_a_delta_and_others_the_full_sheet(self):
        sheet_holder = holder.Holder()
        routes = [route(f"r{number}") for number in range(5)]
        for version in range(1, holder.EARLIER_SHEETS_MAX + 4):
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
