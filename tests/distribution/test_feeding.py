"""Check what a feeder reads from the platform."""

import unittest

import anyio

from lentilrouter.distribution import commit, feeding, holder
from lentilrouter.moves import commands
from lentilrouter.sheet import codec, history
from lentilrouter.store import base
from tests import doubles

SERVICES = 820
BYTES_PER_CHANGE = 5000 / 0.63  # target: 5 KB a second at 54,000 changes a day


class CountingStore(doubles.FaultyStore):
    """A store that counts the bytes that reads return."""

    def __init__(self):
        super().__init__()
        self.read_bytes = 0

    async def get(self, key):
        """Read a key and count its bytes."""
        return self.count(await super().get(key))

    async def watch(self, key, after, seconds):
        """Check the key once without waiting, and count its bytes."""
        found = self.keys.get(key)
        if isinstance(found, base.Found) and found.version > after:
            return self.count(found)
        return base.Unchanged()

    def count(self, found):
        """Count the bytes of a result and return the result."""
        if isinstance(found, base.Found):
            self.read_bytes += len(found.value)
        return found


class Spreader:
    """A spreader that activates published sheets and sends nothing."""

    def __init__(self, sheet_holder):
        self.holder = sheet_holder

    def publish(self, sheet):
        """Activate a complete sheet and return the result."""
        return self.holder.apply(history.delta_between(self.holder.sheet, sheet))


class Services:
    """The services that a feeder needs."""

    def __init__(self, store):
        self.settings = doubles.settings()
        self.random = doubles.rng()
        self.store = store
        self.holder = holder.Holder()
        self.committer = commit.Committer(store, self.holder)
        self.spreader = Spreader(self.holder)


class FeederTests(unittest.TestCase):
    def setUp(self):
        self.store = CountingStore()
        self.writer = commit.Committer(self.store, holder.Holder())
        self.services = Services(self.store)
        self.feeder = feeding.Feeder(self.services)

    def write(self, id, services):
        change = commands.replace_all(services)
        outcome = anyio.run(self.writer.commit, id, b"f", change)
        self.assertIsInstance(outcome, commit.Committed)

    def services_at(self, number):
        services = {f"s{i:03d}": doubles.service(f"s{i:03d}") for i in range(SERVICES)}
        services["s007"] = doubles.service("s007", {"v1": 100 - number, "v2": number})
        return services

    # Guards against reading the complete head or sheet for every change.
    def test_change_costs_its_part_and_not_the_whole_head(self):
        self.write("a", self.services_at(1))
        anyio.run(self.feeder.check_once)
        self.assertEqual(self.services.holder.sheet.revision, 1)
        self.store.read_bytes = 0
        self.write("b", self.services_at(2))
        written = self.store.read_bytes
        anyio.run(self.feeder.check_once)
        self.assertEqual(self.services.holder.sheet.revision, 2)
        self.assertLess(self.store.read_bytes - written, BYTES_PER_CHANGE)

    # Guards against a missed change or a return to an old one, when tips are lost or
    # overwritten by older ones.
    def test_lost_or_old_tips_are_corrected_by_the_head(self):
        self.write("a", self.services_at(1))
        anyio.run(self.feeder.check_once)
        for number in (2, 3, 4):
            self.write(f"c{number}", self.services_at(number))
        old = self.store.keys.get(history.TIP_KEY).value
        self.write("d", self.services_at(5))
        anyio.run(self.feeder.check_once)
        self.assertEqual(self.services.holder.sheet.revision, 5)
        self.store.keys.put(history.TIP_KEY, old)
        anyio.run(self.feeder.check_once)
        self.assertEqual(self.services.holder.sheet.revision, 5)
        self.store.keys.delete(history.TIP_KEY)
        self.write("e", self.services_at(6))
        self.store.keys.delete(history.TIP_KEY)
        anyio.run(self.feeder.check_once)
        self.assertEqual(self.services.holder.sheet.revision, 6)
        digest = codec.build_sheet(6, self.services_at(6)).digest
        self.assertEqual(self.services.holder.sheet.digest, digest)


if __name__ == "__main__":
    unittest.main()
