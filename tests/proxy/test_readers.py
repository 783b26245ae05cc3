"""Choice of the proxies that read the store, and of those that others ask."""

import random
import unittest

from lentilrouter.proxy import readers
from tests.proxy import doubles


def domain(count):
    """Return the targets of a failure domain."""
    hosts = [f"10.0.{number // 250}.{number % 250}" for number in range(count)]
    return [doubles.known_target(host) for host in hosts]


class ChooseTests(unittest.TestCase):
    """Choose the roles of the hosts of one failure domain."""

    def roles(self, targets):
        """Return the role of each host."""
        return {each.host: readers.choose(each.host, targets) for each in targets}

    # Guards against: a number of store calls that grows with the number of proxies.
    def test_two_read_the_store_at_any_size(self):
        for count in (2, 3, 28, 85, 1750):
            with self.subTest(count=count):
                roles = self.roles(domain(count))
                reading = [host for host, role in roles.items() if role.reads]
                self.assertEqual(len(reading), readers.READERS)

    # Guards against: proxies that ask one another in a cycle, none of them a reader.
    def test_every_proxy_reaches_a_reader_through_one_other_at_most(self):
        roles = self.roles(domain(1750))
        asked = {}
        for host in roles:
            steps = 0
            while not roles[host].reads:
                host = roles[host].sources[0].host
                asked[host] = asked.get(host, 0) + 1
                steps += 1
            self.assertLessEqual(steps, 2)
        direct = {}
        for role in roles.values():
            if not role.reads:
                first = role.sources[0].host
                direct[first] = direct.get(first, 0) + 1
        self.assertLessEqual(max(direct.values()), readers.FANOUT)

    def test_order_of_the_targets_does_not_matter(self):
        targets = domain(30)
        before = self.roles(targets)
        random.Random(3).shuffle(targets)
        self.assertEqual(self.roles(targets), before)

    # Guards against: a domain whose proxies keep asking readers for which the store is
    # unreachable, while it responds to other proxies there.
    def test_hosts_for_which_the_store_is_unreachable_come_last(self):
        targets = domain(30)
        usual = self.roles(targets)
        unreachable = {host for host, role in usual.items() if role.reads}
        for each in targets:
            role = readers.choose(each.host, targets, unreachable)
            sources = {source.host for source in role.sources}
            self.assertFalse(role.reads and each.host in unreachable)
            self.assertTrue(role.reads or not sources & unreachable)
        few = targets[:2]
        both = {each.host for each in few}
        self.assertTrue(readers.choose(few[0].host, few, both).reads)

    def test_hosts_with_the_fastest_links_read(self):
        links = {"10.9.0.1": 200.0, "10.9.0.2": 100.0}
        fast = [doubles.known_target(host, mbps) for host, mbps in links.items()]
        roles = self.roles([*domain(20), *fast])
        self.assertTrue(all(roles[each.host].reads for each in fast))

    def test_host_without_an_entry_and_single_host(self):
        self.assertTrue(readers.choose("10.0.0.1", []).reads)
        self.assertTrue(readers.choose("10.0.0.0", domain(1)).reads)
        role = readers.choose("10.9.9.9", domain(1))
        self.assertEqual([each.host for each in role.sources], ["10.0.0.0"])
