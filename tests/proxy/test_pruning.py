"""Removal of the entries of hosts that are gone from the store."""

import dataclasses
import types
import unittest

from lentilrouter.proxy import directory, entry, kvstore, pruning, replicas
from tests.proxy import doubles

OWN = "10.0.0.1"
SECOND = "10.0.0.2"
THIRD = "10.0.0.3"
FOURTH = "10.0.0.4"
HOSTS = (OWN, SECOND, THIRD, FOURTH)


class PrunerTests(unittest.IsolatedAsyncioTestCase):
    """Four hosts of a failure domain; those with lower numbers have faster links.

    The first two read the store, and the others ask them.
    """

    def setUp(self):
        self.now = 100.0
        self.dead = set()
        self.writes = []
        self.result = kvstore.Written(60)
        self.directory = directory.Directory()
        self.entries = replicas.Replica(lambda change: None)
        for number, host in enumerate(HOSTS):
            target = doubles.known_target(host, 40.0 - number)
            self.directory.put(target, 0.0)
            key = entry.TARGETS_PREFIX + host
            self.entries.apply(kvstore.Item(key, target.encode(), 10 + number))
        self.sources = types.SimpleNamespace(
            role=types.SimpleNamespace(leads=True), skipped={}
        )
        real_sleep = pruning.asyncio.sleep
        self.addCleanup(setattr, pruning.asyncio, "sleep", real_sleep)
        pruning.asyncio.sleep = lambda seconds: real_sleep(0)
        self.pruner = pruning.Pruner(
            types.SimpleNamespace(
                clock=lambda: self.now,
                settings=doubles.settings(address=OWN, link_mbps=40.0),
                directory=self.directory,
                refresher=types.SimpleNamespace(sources=self.sources),
                registry=types.SimpleNamespace(entries=self.entries),
                store=types.SimpleNamespace(write=self.write),
                log=types.SimpleNamespace(event=lambda *args, **fields: None),
                responds=self.responds,
            )
        )

    async def responds(self, peer):
        return peer.partition(":")[0] not in self.dead

    async def write(self, expected, puts, deletes=()):
        self.writes.append((expected, list(deletes)))
        return self.result

    async def check_after(self, seconds, heard=()):
        """Check now and after ``seconds``, in which the hosts ``heard`` sent requests.

        Return the hosts whose entries were removed.
        """
        await self.pruner.check()
        self.now += seconds
        for host in heard:
            self.pruner.note_request(host)
        await self.pruner.check()
        deleted = [key for _, deletes in self.writes for key in deletes]
        return [key[len(entry.TARGETS_PREFIX) :] for key in deleted]

    async def test_entry_of_a_dead_host_is_removed_after_its_silence(self):
        self.dead = {THIRD}
        self.assertEqual(await self.check_after(pruning.SILENT_SECONDS - 1), [])
        removed = await self.check_after(2.0, heard=(SECOND, FOURTH))
        self.assertEqual(removed, [THIRD])
        self.assertEqual(self.writes[0][0], {entry.TARGETS_PREFIX + THIRD: 12})
        self.assertNotIn(entry.TARGETS_PREFIX + THIRD, self.entries.items)

    async def test_silent_host_that_responds_to_a_probe_keeps_its_entry(self):
        self.assertEqual(await self.check_after(pruning.SILENT_SECONDS + 1), [])

    # Guards against: a proxy that is cut off from all others, but not from the store,
    # and removes their entries.
    async def test_proxy_that_reaches_nobody_removes_nothing(self):
        self.dead = {SECOND, THIRD, FOURTH}
        self.assertEqual(await self.check_after(pruning.SILENT_SECONDS + 1), [])

    async def test_last_other_host_is_removed_if_it_is_dead(self):
        for host in (THIRD, FOURTH):
            self.directory.remove(host)
            self.entries.apply(kvstore.Removed(entry.TARGETS_PREFIX + host, 50))
        self.dead = {SECOND}
        removed = await self.check_after(pruning.SILENT_SECONDS + 1)
        self.assertEqual(removed, [SECOND])

    # Guards against: a dead reader that all others skip, so that none removes it.
    async def test_skipped_hosts_are_checked(self):
        self.dead = {SECOND}
        self.sources.skipped = {SECOND: 0.0}
        removed = await self.check_after(pruning.SILENT_SECONDS + 1, heard=(THIRD,))
        self.assertEqual(removed, [SECOND])

    async def test_entry_that_was_written_again_stays(self):
        self.dead = {THIRD}
        key = entry.TARGETS_PREFIX + THIRD
        target = dataclasses.replace(self.directory.by_host[THIRD], born=7)
        self.result = kvstore.Conflict((kvstore.Item(key, target.encode(), 70),))
        await self.check_after(pruning.SILENT_SECONDS + 1, heard=(SECOND, FOURTH))
        self.assertEqual(self.entries.revisions[key], 70)

    async def test_proxy_that_others_do_not_ask_checks_nobody(self):
        self.sources.role.leads = False
        self.dead = {THIRD}
        self.assertEqual(await self.check_after(pruning.SILENT_SECONDS + 1), [])
