"""Choice of the proxies that read the store, and of those that others ask."""

import dataclasses
import random
import unittest

from lentilrouter.proxy import readers
from tests.proxy import doubles

DOMAINS = ("z1", "z2", "z3", "z4", "z5")


def domain(count, name="z1", network=0):
    """Return the targets of a failure domain."""
    hosts = [f"10.{network}.{number // 250}.{number % 250}" for number in range(count)]
    return [
        dataclasses.replace(doubles.known_target(host), domain=name) for host in hosts
    ]


def fleet(count):
    """Return the targets of a fleet with ``count`` hosts in each of five domains."""
    return [
        target
        for number, name in enumerate(DOMAINS)
        for target in domain(count, name, number)
    ]


class ChooseTests(unittest.TestCase):
    """Choose the roles of the hosts of a fleet."""

    def roles(self, targets, store_unreachable=()):
        """Return the role of each host."""
        tree = readers.Tree(targets, store_unreachable)
        return {each.host: tree.role(each.host, each.domain) for each in targets}

    # Guards against: a number of store calls that grows with the number of proxies or
    # of failure domains.
    def test_two_read_the_store_at_any_size(self):
        fleets = (domain(2), domain(3), domain(28), domain(85), domain(1750))
        for targets in (*fleets, fleet(3), fleet(40)):
            with self.subTest(count=len(targets)):
                roles = self.roles(targets)
                reading = [host for host, role in roles.items() if role.reads]
                self.assertEqual(len(reading), readers.READERS)

    # Guards against: one failure domain that has all readers, so that all others lose
    # them together when it is cut off.
    def test_readers_are_in_different_domains(self):
        tree = readers.Tree(fleet(40))
        domains = {target.domain for target in tree.readers}
        self.assertEqual(len(domains), readers.READERS)

    # Guards against: proxies that ask one another in a cycle, none of them a reader.
    def test_every_proxy_reaches_a_reader_through_two_others_at_most(self):
        for targets, steps_max in ((domain(1750), 2), (fleet(350), 3)):
            roles = self.roles(targets)
            asked = dict.fromkeys(roles, 0)
            for host in roles:
                steps = 0
                while not roles[host].reads:
                    host = roles[host].sources[0].host
                    steps += 1
                self.assertLessEqual(steps, steps_max)
            for role in roles.values():
                for source in role.sources[:1] if not role.reads else ():
                    asked[source.host] += 1
            domains = len({each.domain for each in targets})
            leaders = readers.LEADERS * domains if domains > 1 else 0
            self.assertLessEqual(max(asked.values()), readers.FANOUT + leaders)

    # Guards against: every proxy of a domain whose requests cross to another domain.
    def test_only_leaders_ask_proxies_of_other_domains(self):
        targets = fleet(40)
        by_host = {each.host: each for each in targets}
        crossing = {
            host
            for host, role in self.roles(targets).items()
            if any(source.domain != by_host[host].domain for source in role.sources)
        }
        self.assertLessEqual(len(crossing), readers.LEADERS * len(DOMAINS))

    def test_order_of_the_targets_does_not_matter(self):
        targets = fleet(30)
        before = self.roles(targets)
        random.Random(3).shuffle(targets)
        self.assertEqual(self.roles(targets), before)

    # Guards against: a fleet whose proxies keep asking readers for which the store is
    # unreachable, while it responds to other proxies.
    def test_hosts_for_which_the_store_is_unreachable_come_last(self):
        for targets in (domain(30), fleet(30)):
            usual = self.roles(targets)
            unreachable = {host for host, role in usual.items() if role.reads}
            roles = self.roles(targets, unreachable)
            for each in targets:
                role = roles[each.host]
                self.assertFalse(role.reads and each.host in unreachable)
                sources = {source.host for source in role.sources}
                self.assertTrue(role.reads or not sources & unreachable)
        few = domain(2)
        both = {each.host for each in few}
        self.assertTrue(self.roles(few, both)[few[0].host].reads)

    def test_hosts_with_the_fastest_links_read(self):
        links = {"10.9.0.1": 200.0, "10.9.0.2": 100.0}
        fast = [doubles.known_target(host, mbps) for host, mbps in links.items()]
        roles = self.roles([*domain(20), *fast])
        self.assertTrue(all(roles[each.host].reads for each in fast))

    def test_host_without_an_entry_and_single_host(self):
        self.assertTrue(readers.Tree([]).role("10.0.0.1", "z1").reads)
        self.assertTrue(readers.Tree(domain(1)).role("10.0.0.0", "z1").reads)
        role = readers.Tree(domain(1)).role("10.9.9.9", "z1")
        self.assertEqual([each.host for each in role.sources], ["10.0.0.0"])
        elsewhere = readers.Tree(domain(1)).role("10.9.9.9", "z2")
        self.assertEqual([each.host for each in elsewhere.sources], ["10.0.0.0"])

    # Guards against: a host that is gone and whose entry no proxy ever removes.
    def test_every_host_asks_some_proxy_that_knows_it(self):
        for targets in (domain(3), domain(350), fleet(40)):
            tree = readers.Tree(targets)
            heard = set()
            for each in targets:
                asking = tree.asking(each.host, each.domain)
                self.assertNotIn(each.host, asking)
                heard |= asking
            self.assertEqual(heard, {each.host for each in targets})
