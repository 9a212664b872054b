"""Configuration changes on real daemons, with faults of the table service and of network links."""

import signal
import threading
import time
import unittest

from standins.fleet import Fleet, http, wait_for

from tests.builders import JAR_ZONES, jar_returns_rows


def zone_row(name, **fields):
    return {f"zone/{name}": {"name": name, "region": f"{name}-region", **fields}}


def started_fleet(size, add_cleanup):
    fleet = Fleet()
    add_cleanup(fleet.__exit__)
    for number in range(size):
        fleet.daemon(f"entry-{number}", JAR_ZONES[number % 3], proxied=True)
    fleet.begin(jar_returns_rows())
    wait_for(lambda: all(majority(fleet)), "majority contact of every daemon")
    return fleet


def majority(fleet):
    return [fleet.admin(process, "/admin/status")["majority"] for process in fleet.daemons.values()]


def error_code(process):
    """Return the error code for an unknown key; 4003 means that the daemon serves requests."""
    headers = {"Authorization": "Bearer nobody"}
    body = {"model": "crock-llm", "prompt": "x"}
    resp = http.request(
        "POST", f"http://{process.address}/v1/completions", json=body, headers=headers
    )
    return resp.json()["error"]["code"]


class Table(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = started_fleet(5, cls.addClassCleanup)

    def setUp(self):
        self.fleet.control(table="up", lose=0, then=None)
        self.daemons = list(self.fleet.daemons.values())
        self.version = max(self.fleet.versions())

    def in_force(self, version):
        wait_for(lambda: set(self.fleet.versions()) == {version}, f"version {version} everywhere")

    def operations(self):
        return [key for key in self.fleet.control()["rows"] if key.startswith("config/op/")]

    def accept(self, op_id, changes):
        def accepted():
            status, answer = self.fleet.apply(self.daemons[0], op_id, changes)
            if status != 200:
                self.assertIn("more than half", answer["error"]["message"])
            return status == 200 and answer

        # On a busy machine, pings can be delayed until majority contact is lost for a moment. No
        # other refusal is expected.
        return wait_for(accepted, "acceptance")

    def test_an_accepted_change_is_pushed_to_every_daemon(self):
        # Guards against changes that reach each daemon only by its own poll of the table service.
        for number in range(5):
            done = self.accept(f"push-{number}-operation", zone_row("gobi", enabled=number % 2 > 0))
            self.in_force(done["version"])
        pushed = 0
        for process in self.daemons[1:]:
            text = self.fleet.page(process, "/metrics")
            pushed += 'config_learned_total{source="push"}' in text
        self.assertGreaterEqual(pushed, 3)

    def test_a_write_whose_answer_is_lost_is_accepted_once(self):
        # Guards against a change that took effect and is reported as failed, or applied again.
        self.fleet.control(lose=1)
        done = self.accept("lost-answer-operation", zone_row("gobi", region="east"))
        self.assertEqual(self.fleet.control()["lose"], 0)
        self.in_force(done["version"])
        again = self.fleet.apply(
            self.daemons[3], "lost-answer-operation", zone_row("gobi", region="east")
        )
        self.assertEqual(again, (200, done))
        self.assertEqual(self.operations().count("config/op/lost-answer-operation"), 1)

    def test_of_two_racing_operators_one_receives_a_conflict(self):
        # Guards against a lost update.
        # On a busy machine, a delayed daemon can refuse for lack of majority contact. Then the race
        # has no loser and is repeated.
        for attempt in range(20):
            answers = {}
            base = max(self.fleet.versions())
            self.in_force(base)

            def race(number, attempt=attempt, answers=answers, base=base):
                op_id = f"race-{attempt}-operator-{number}"
                changes = zone_row(JAR_ZONES[number], region=f"r{attempt}")
                answers[number] = self.fleet.apply(self.daemons[number], op_id, changes, base)

            threads = [threading.Thread(target=race, args=(number,)) for number in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            if {status for status, _ in answers.values()} == {200, 409}:
                break
            refused = [answer["error"] for _, answer in answers.values() if "error" in answer]
            self.assertTrue(refused, answers)
            for error in refused:
                self.assertIn("more than half", error["message"], answers)
        winner = min(answers, key=lambda number: answers[number][0])
        error = answers[1 - winner][1]["error"]
        self.assertEqual((error["code"], error["ran"]), (4901, "no"))
        self.assertIn(f"race-{attempt}-operator-{winner}", error["message"])
        self.in_force(answers[winner][1]["version"])

    def test_the_table_service_down_before_a_change(self):
        # Guards against a partially accepted change, and against an outage that stops serving.
        self.fleet.control(table="down")
        status, answer = self.fleet.apply(
            self.daemons[0], "down-before-operation", zone_row("gobi", region="west")
        )
        self.assertEqual((status, answer["error"]["code"]), (503, 4902))
        self.assertEqual(answer["error"]["ran"], "no")
        # Beyond the freshness limit, daemons serve because of majority contact alone.
        stale = lambda: all(  # noqa: E731
            self.fleet.admin(process, "/admin/status")["freshness_s"] > 3.5
            for process in self.daemons
        )
        wait_for(stale, "freshness past its limit")
        self.assertEqual({error_code(process) for process in self.daemons}, {4003})
        self.fleet.control(table="up")
        done = self.accept("down-before-operation", zone_row("gobi", region="west"))
        self.in_force(done["version"])

    def test_the_table_service_goes_down_during_a_change_and_its_answer_is_lost(self):
        # Guards against a change that took effect and is reported as failed, or applied again.
        self.fleet.control(lose=1, then="down")
        status, answer = self.fleet.apply(
            self.daemons[0], "down-during-operation", zone_row("gobi", region="north")
        )
        self.assertEqual((status, answer["error"]["code"]), (503, 4902))
        self.assertEqual(answer["error"]["ran"], "unknown")
        self.fleet.control(table="up")
        done = self.accept("down-during-operation", zone_row("gobi", region="north"))
        self.assertEqual(done["version"], self.version + 1)
        self.in_force(done["version"])


class Links(unittest.TestCase):
    def setUp(self):
        self.fleet = started_fleet(3, self.addCleanup)
        self.daemons = list(self.fleet.daemons.values())

    def apply(self):
        done = wait_for(
            lambda: self.fleet.apply(self.daemons[0], "change-operation", zone_row("gobi"))[1].get(
                "version"
            ),
            "acceptance",
        )
        self.assertEqual(done, 2)

    def test_a_daemon_cut_off_from_everything_refuses_and_catches_up_before_it_serves(self):
        # Guards against requests served under a configuration that was replaced meanwhile.
        self.fleet.set_links("entry-2", "cut")
        wait_for(
            lambda: error_code(self.daemons[2]) == 4102, "4102 from the daemon that is cut off"
        )
        self.apply()
        accepted = time.monotonic()
        # Until then, a daemon may still serve the old version and report it as fresh.
        wait_for(lambda: time.monotonic() > accepted + 3.1, "the freshness limit to pass")
        self.assertEqual(error_code(self.daemons[2]), 4102)
        spread = self.fleet.admin(self.daemons[0], "/admin/config/spread?version=2")
        lacking = [item["vm_id"] for item in spread["missing"]] + spread["not_live"]
        self.assertIn("entry-2", lacking)
        self.assertNotIn("entry-2", spread["in_force"])
        self.fleet.set_links("entry-2", "pass")

        def served():
            code = error_code(self.daemons[2])
            version = self.fleet.admin(self.daemons[2], "/admin/status")["version"]
            self.assertTrue(code in (4101, 4102) or version == 2, (code, version))
            return code == 4003

        wait_for(served, "service after the cut")

    def test_a_restarted_daemon_beside_a_stale_peer_waits_for_the_higher_version(self):
        # Guards against a revert when a VM restarts while the table service is down.
        fleet = self.fleet
        fleet.set_links("entry-2", "cut")
        self.apply()
        wait_for(lambda: fleet.versions()[1] == 2, "version 2 on the second daemon")
        wait_for(
            lambda: error_code(self.daemons[2]) == 4102, "4102 from the daemon that is cut off"
        )
        fleet.control(table="down")
        self.daemons[0].signal(signal.SIGSTOP)
        self.daemons[1].kill()
        restarted = fleet.daemon("entry-1", JAR_ZONES[1], proxied=True)
        fleet.publish_vms()
        fleet.set_links("entry-2", "pass")

        def met():
            status = fleet.admin(restarted, "/admin/status")
            self.assertFalse(status["serving"])
            versions = {item["vm_id"]: item["version"] for item in status["daemons"]}
            return versions.get("entry-2") == 1

        wait_for(met, "contact with the stale peer")
        # Wait for several rounds of queries, each answered by the stale peer only.
        dump = fleet.admin(restarted, "/admin/dump")
        sent = fleet.admin(restarted, "/admin/status")["peer_traffic"]["messages"]
        wait_for(
            lambda: fleet.admin(restarted, "/admin/status")["peer_traffic"]["messages"] > sent + 12,
            "more rounds of questions",
        )
        self.assertEqual(error_code(restarted), 4101, dump["configuration"])
        self.daemons[0].signal(signal.SIGCONT)
        for process in (restarted, self.daemons[2]):
            wait_for(lambda process=process: error_code(process) == 4003, "service at version 2")
            self.assertEqual(fleet.admin(process, "/admin/status")["version"], 2)
