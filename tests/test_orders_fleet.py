"""Orders to engines while the lease holder is paused past its lease, with real processes."""

import signal
import unittest

from standins.fleet import Fleet, post, wait_for
from standins.proxy import Proxy

from tests.builders import JAR_ZONES, jar_returns_rows


class OrdersFleet(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.engines = [
            self.fleet.backend("crock-0", "crock-llm", JAR_ZONES[0], "engine", "--check-fencing"),
            self.fleet.backend("crock-1", "crock-llm", JAR_ZONES[1], "engine"),
        ]
        # The answers of this engine are lost, so the holder retries its order and one is due when
        # the holder resumes.
        proxy = self.enterContext(Proxy(self.engines[1].address))
        proxy.set_mode("lose_answers")
        self.fleet.vms["crock-1"]["address"] = proxy.address
        for number, zone in enumerate(JAR_ZONES):
            self.fleet.daemon(f"entry-{number}", zone)
        self.fleet.write_configuration(jar_returns_rows())
        self.fleet.publish_vms()
        wait_for(lambda: self.fleet.versions() == [1, 1, 1], "the configuration")
        self.daemons = list(self.fleet.daemons.values())

    def set_desired(self, daemon, version):
        changes = {
            f"order/{name}": {"server_id": name, "model": "crock", "version": version}
            for name in ("crock-0", "crock-1")
        }
        wait_for(
            lambda: self.fleet.apply(daemon, f"order-{version}", changes)[0] == 200,
            "an accepted change",
        )

    def orders(self, engine):
        return post(engine.address, "/control", {})["orders"]

    def holder(self, daemons):
        for daemon in daemons:
            if self.fleet.admin(daemon, "/admin/dump")["orders"]["holds"]:
                return daemon
        return None

    def at_version(self, version):
        orders = [self.orders(engine) for engine in self.engines]
        return all(found and found[-1]["version"] == version for found in orders)

    def test_a_paused_holder_neither_orders_with_its_old_lease_nor_undoes_its_successor(self):
        # Guards against a holder that resumes after its lease expired and sends orders beside its
        # successor.
        self.set_desired(self.daemons[0], "v1")
        wait_for(lambda: self.at_version("v1"), "the first orders")
        first = self.holder(self.daemons)
        others = [daemon for daemon in self.daemons if daemon is not first]
        first.signal(signal.SIGSTOP)
        self.addCleanup(first.signal, signal.SIGCONT)
        wait_for(lambda: self.holder(others), "a successor")
        self.set_desired(others[0], "v2")
        wait_for(lambda: self.at_version("v2"), "the successor's orders")
        first.signal(signal.SIGCONT)
        wait_for(
            lambda: self.fleet.admin(first, "/admin/dump")["orders"]["lease"]["fencing"] == 2,
            "the former holder to see the lease",
        )
        self.assertIsNone(self.holder([first]))
        self.assertTrue(self.at_version("v2"))
        for engine in self.engines:
            fencing = [order["fencing"] for order in self.orders(engine)]
            self.assertEqual(fencing, sorted(fencing))
