"""Discovery: contents and order of an answer, and distribution of callers over daemons."""

import random
import unittest
from collections import Counter

from lovageway.controllers.configuration import Configuration
from lovageway.controllers.discovery import MAX_ADDRESSES, Discovery, homes_needed
from lovageway.controllers.membership import Membership
from lovageway.messages import Leaving, Member, Members
from lovageway.model import Contract, Identity, Snapshot, Vm, Zone

ZONES = {f"z{n}": Zone(f"z{n}", f"r{n % 3}") for n in range(10)}


def contract(account, requests_per_s=10.0):
    return Contract(account, (), ("crock-llm",), requests_per_s, 10, 1000.0)


def daemon(number):
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    return Member(f"e-{number}/a", f"{host}:80", f"{host}:70", f"z{number % 10}", 0, "live")


class DiscoveryCase(unittest.TestCase):
    def build(self, count, zones=ZONES):
        own = daemon(0)
        ident = Identity("e-0", "a", own.zone, own.address, own.peer_address)
        self.membership = Membership(ident, random.Random(1), lambda now: (1, 0.0))
        for start in range(1, count, 50):
            page = Members(tuple(daemon(n) for n in range(start, min(start + 50, count))))
            self.membership.on_message("e-1/a", "10.0.0.2:70", page, 0.0, lambda effect: None)
        self.configuration = Configuration()
        self.configuration.snapshot = Snapshot(1, {}, {}, zones, {})
        return Discovery(self.membership, self.configuration)


class Answers(DiscoveryCase):
    def test_a_leaving_daemon_is_omitted_at_once(self):
        # Guards against callers that are directed to a daemon about to stop.
        found = self.build(8)
        self.assertIn(daemon(3).address, found.addresses(contract("a"), "c"))
        leaving = Leaving(daemon(3)._replace(incarnation=1, state="leaving"))
        self.membership.on_message("e-3/a", "10.0.0.4:70", leaving, 1.0, lambda effect: None)
        self.assertNotIn(daemon(3).address, found.addresses(contract("a"), "c"))
        self.membership.leave(1.0, lambda effect: None)
        self.assertNotIn(daemon(0).address, found.addresses(contract("a"), "c"))

    def test_a_vm_that_the_list_marks_as_leaving_is_omitted(self):
        # Guards against ignoring the platform's notice, which comes before the daemon's own.
        found = self.build(4)
        vm = Vm("e-2", "entry", "", "z2", daemon(2).address, daemon(2).peer_address, "leaving")
        self.membership.on_vm_list((vm,), 1.0)
        self.assertNotIn(daemon(2).address, found.addresses(contract("a"), "c"))

    def test_daemons_of_a_disabled_zone_are_omitted(self):
        # Guards against new requests in a zone that operators have taken out of service.
        found = self.build(20)
        zones = {**ZONES, "z4": ZONES["z4"]._replace(enabled=False)}
        found.addresses(contract("a"), "c")
        self.configuration.snapshot = Snapshot(2, {}, {}, zones, {})
        for number in range(50):
            answer = found.addresses(contract(f"a{number}"), f"c{number}")
            self.assertNotIn(daemon(4).address, answer)
            self.assertEqual(len(answer), 18)

    def test_home_daemons_come_first_then_the_zone_then_the_region(self):
        # Guards against cross-region traffic, and against accounts that use daemons all over the
        # fleet.
        found = self.build(30)
        zone_of = {daemon(n).address: daemon(n).zone for n in range(30)}
        homes = set()
        for caller in range(40):
            answer = found.addresses(contract("a", 100.0), f"c{caller}", "z5")
            count = homes_needed(contract("a", 100.0))
            homes |= set(answer[:count])
            rest = [zone_of[address] for address in answer[count:]]
            distance = [0 if z == "z5" else 1 if ZONES[z].region == "r2" else 2 for z in rest]
            self.assertEqual(distance, sorted(distance))
            self.assertEqual(len(set(answer)), 30)
        self.assertEqual(len(homes), 3)

    def test_a_caller_that_names_its_zone_begins_in_its_own_region(self):
        # Guards against streams that cross regions, which is slow and billed by volume.
        found = self.build(390)
        zone_of = {daemon(n).address: daemon(n).zone for n in range(390)}
        for number in range(100):
            zone = f"z{number % 10}"
            answer = found.addresses(contract(f"a{number}"), f"c{number}", zone)
            self.assertEqual(ZONES[zone_of[answer[0]]].region, ZONES[zone].region)

    def test_a_region_without_usable_daemons_is_served_by_others(self):
        # Guards against an answer without addresses while all zones of a region are disabled.
        closed = {n: z._replace(enabled=z.region != "r0") for n, z in ZONES.items()}
        found = self.build(20, closed)
        answer = found.addresses(contract("a"), "c", "z0")
        self.assertEqual(len(answer), 12)

    def test_an_answer_is_bounded_at_the_target_size(self):
        # Guards against answers of 8 KB to each caller every 5 s.
        self.assertEqual(len(self.build(390).addresses(contract("a"), "c")), MAX_ADDRESSES)


class Distribution(DiscoveryCase):
    def test_callers_of_many_accounts_spread_evenly(self):
        # Guards against a daemon that is the first choice of far more callers than others.
        found = self.build(390)
        first = Counter(found.addresses(contract(f"a{n}"), "c")[0] for n in range(7700))
        mean = 7700 / 390
        # Independent choices have a standard deviation of sqrt(mean) = 4.4; six are allowed.
        self.assertLess(max(first.values()), mean + 6 * mean**0.5)
        self.assertEqual(len(first), 390)

    def test_callers_of_a_small_account_begin_at_the_owner_of_its_shares(self):
        # Guards against share messages for each of 7,700 accounts: an owner sends itself none.
        found = self.build(390)
        for number in range(50):
            name = f"a{number}"
            owner = self.membership.owner(f"account:{name}")
            address = next(m.address for m in self.membership.live() if m.node == owner)
            for caller in range(4):
                self.assertEqual(found.addresses(contract(name), f"c{caller}")[0], address)
                large = found.addresses(contract(name, 60.0), f"c{caller}")
                self.assertIn(address, large[:2])

    def test_callers_of_one_account_spread_over_its_home_daemons(self):
        # Guards against one home daemon that receives all requests of a large account.
        found = self.build(8)
        large = contract("large", 300.0)
        first = Counter(found.addresses(large, f"10.1.1.1:{n}")[0] for n in range(3000))
        self.assertEqual(len(first), homes_needed(large))
        for count in first.values():
            self.assertAlmostEqual(count / 500, 1.0, delta=0.25)


if __name__ == "__main__":
    unittest.main()
