"""The operators' interface and commands, with real daemons."""

import contextlib
import hashlib
import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from standins.fleet import Fleet, http, wait_for
from standins.proxy import Proxy
from typer.testing import CliRunner

from lovageway import _changes, _client
from lovageway.cli import app
from tests.builders import JAR_ZONES, contract_row, jar_returns_rows


class WithFleet(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.__exit__)
        for number in range(2):
            cls.fleet.daemon(f"entry-{number}", JAR_ZONES[number])
        cls.fleet.vms["crock-0"] = {
            "vm_id": "crock-0",
            "role": "backend",
            "service": "crock-llm",
            "zone": "gobi",
            "address": "127.0.0.1:1",
        }
        cls.fleet.write_configuration(jar_returns_rows())
        cls.fleet.publish_vms()
        cls.daemons = list(cls.fleet.daemons.values())
        cls.addresses = [process.addresses["operator_listen"] for process in cls.daemons]
        for process in cls.daemons:
            wait_for(lambda process=process: cls.is_ready(process), "daemons that know each other")

    @classmethod
    def is_ready(cls, process):
        status = cls.fleet.admin(process, "/admin/status")
        return status["majority"] and status["serving"] and len(status["daemons"]) == 2

    def run_command(self, *args, addresses=None, key="operator.key"):
        options = ["--key-file", str(self.fleet.dir / key)]
        for address in addresses or self.addresses:
            options += ["--address", address]
        return CliRunner().invoke(app, [*args, *options])

    def run_json(self, *args, code=0, **options):
        result = self.run_command(*args, "--json", **options)
        self.assertEqual(result.exit_code, code, result.output)
        return json.loads(result.stdout)

    def rows(self):
        return self.run_json("config", "show")["rows"]


class Commands(WithFleet):
    def file(self, text, suffix=".toml"):
        with tempfile.NamedTemporaryFile("w", suffix=suffix, delete=False) as file:
            file.write(text)
        self.addCleanup(Path(file.name).unlink)
        return file.name

    def test_status_shows_daemons_servers_and_the_table_service(self):
        # Guards against operators who cannot see the state of the fleet.
        found = self.run_json("status")
        self.assertEqual(found["table"]["reachable"], True)
        self.assertEqual(found["servers"][0]["zone"], "gobi")
        text = self.run_command("status").output
        for part in ("entry-0", "entry-1", "majority contact", "crock-0 of crock-llm in gobi"):
            self.assertIn(part, text)

    def test_a_file_is_shown_then_applied_then_in_force(self):
        # Guards against a dry run that changes the configuration and a --wait that ends too early.
        path = self.file('[zone.gobi]\nregion = "moved"\n[server.crock-9]\nenabled = false\n')
        before = self.run_json("config", "show")["version"]
        shown = self.run_command("config", "apply", path, "--dry-run")
        self.assertIn('~ zone/gobi: region: "gobi-region" -> "moved"', shown.output)
        self.assertEqual(self.run_json("config", "show")["version"], before)
        done = self.run_json("config", "apply", path, "--wait")
        self.assertEqual(done["spread"]["missing"], [])
        self.assertEqual(len(done["spread"]["in_force"]), 2)
        self.assertEqual(set(self.fleet.versions()), {done["version"]})
        again = self.run_json("config", "apply", path)
        self.assertEqual((again["accepted"], again["version"]), (False, done["version"]))

    def test_a_file_of_the_wrong_form_changes_nothing(self):
        # Guards against a traceback, or a file that is applied in part, instead of an error.
        for text, suffix in (("[zone", ".toml"), ("[1]", ".json"), ("[quota.x]\na=1", ".toml")):
            result = self.run_command("config", "apply", self.file(text, suffix))
            self.assertEqual(result.exit_code, _client.USAGE, result.output)
        path = self.file('{"contract": {"x": {"concurrency": "many"}}}', ".json")
        error = self.run_json("config", "apply", path, code=_client.INVALID)["error"]
        self.assertIn("contract/x: concurrency", error["message"])
        self.assertIn("contract/x: key_hashes", error["message"])

    def test_an_old_base_version_is_a_conflict(self):
        # Guards against applying a file that was written for another version.
        path = self.file('[zone.selenge]\nregion = "other"\n')
        answer = self.run_json(
            "config", "apply", path, "--base-version", "0", code=_client.CONFLICT
        )
        self.assertEqual(answer["error"]["name"], "CONFLICT")

    def test_a_contract_is_created_changed_and_removed(self):
        # Guards against commands that drop fields of the row, and a printed key that does not match
        # the stored hash.
        limits = ["--requests-per-s", "5", "--concurrency", "2", "--tokens-per-s", "100"]
        created = self.run_command("contract", "create", "new", "--service", "crock-llm", *limits)
        self.assertEqual(created.exit_code, 0, created.output)
        key = created.stderr.rpartition(" ")[2].strip()
        row = self.rows()["contract/new"]
        self.assertEqual(row["key_hashes"], [hashlib.sha256(key.encode()).hexdigest()])
        twice = self.run_command("contract", "create", "new", "--service", "crock-llm", *limits)
        self.assertEqual(twice.exit_code, _client.CONFLICT)
        self.run_json("contract", "change", "new", "--concurrency", "7", "--wait")
        self.assertEqual(self.rows()["contract/new"], {**row, "concurrency": 7})
        shown = self.run_json("account", "new")
        self.assertEqual(shown["contract"]["concurrency"], 7)
        self.assertTrue(shown["owner"].startswith("entry-"))
        self.assertIn("this daemon: no share here", self.run_command("account", "new").output)
        self.run_json("contract", "remove", "new", "--wait")
        self.run_json("account", "new", code=_client.NOT_FOUND)
        self.run_json("contract", "remove", "new", code=_client.NOT_FOUND)

    def test_zones_and_servers_are_taken_out_and_brought_back(self):
        # Guards against a switch that changes more of the row than `enabled`.
        before = self.rows()["zone/gobi"]
        for kind, name in (("zone", "gobi"), ("server", "crock-0")):
            self.run_json(kind, "take-out", name)
            self.assertEqual(self.rows()[f"{kind}/{name}"]["enabled"], False)
            self.assertEqual(self.run_json(kind, "take-out", name)["accepted"], False)
            self.run_json(kind, "bring-back", name)
            self.assertEqual(self.rows()[f"{kind}/{name}"]["enabled"], True)
        self.assertEqual(self.rows()["zone/gobi"], {**before, "enabled": True})
        self.run_json("zone", "take-out", "nowhere", code=_client.NOT_FOUND)

    def test_the_next_address_is_tried_and_none_is_an_error_of_its_own(self):
        # Guards against a command that fails because one VM is unreachable.
        dead = "127.0.0.1:1"
        self.run_json("status", addresses=[dead, self.addresses[0]])
        self.run_json("status", addresses=[dead], code=_client.NO_ANSWER)
        self.run_json("zone", "take-out", "gobi", addresses=[dead], code=_client.NO_ANSWER)

    def test_a_change_whose_answer_is_lost_on_the_way_is_applied_once(self):
        # Guards against a change that is applied twice because the client retries it.
        with Proxy(self.addresses[0]) as proxy:
            before = self.run_json("config", "show")["version"]
            client = _client.Client(
                [proxy.address, self.addresses[1]], self.fleet.dir / "operator.key", 30.0
            )
            proxy.set_mode("lose_answers")
            row = {"name": "selenge", "region": "lost"}
            version = client.apply([{"key": "zone/selenge", "value": row}], None)
        self.assertEqual(version, before + 1)
        self.assertEqual(self.run_json("config", "show")["version"], before + 1)

    def test_waiting_in_vain_names_the_missing_vms(self):
        # Guards against a --wait that reports a change as in force although VMs lack it.
        class Fake:
            def get(self, path):
                missing = [{"vm_id": "entry-7", "version": 3}]
                return {"in_force": ["entry-0"], "missing": missing, "not_live": ["entry-9"]}

        wait_s, _changes.WAIT_S = _changes.WAIT_S, 0.0
        self.addCleanup(setattr, _changes, "WAIT_S", wait_s)
        stderr = contextlib.redirect_stderr(io.StringIO())
        with stderr, self.assertRaises(_client.CommandError) as caught:
            _changes._wait_in_force(_changes.Session(Fake(), as_json=False), 4)
        self.assertEqual(caught.exception.exit_code, _client.NOT_EVERYWHERE)
        self.assertIn("entry-7 (version 3)", str(caught.exception))

    def test_another_key_is_refused(self):
        # Guards against an operators' interface that accepts any key.
        (self.fleet.dir / "wrong.key").write_text("x" * 32)
        self.run_json("status", key="wrong.key", code=_client.KEY_REFUSED)
        self.run_json("status", key="none.key", code=_client.USAGE)

    def test_the_program_itself_exits_with_the_documented_code(self):
        # Guards against an entry point that replaces the command's exit code.
        args = [sys.executable, "-m", "lovageway", "explain", "none"]
        args += ["--address", self.addresses[0], "--key-file", f"{self.fleet.dir}/operator.key"]
        done = subprocess.run(args, capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, _client.NOT_FOUND, done.stderr)
        self.assertIn("no request none", done.stderr)


class Interface(WithFleet):
    def post(self, data, path="/admin/config/apply"):
        headers = {"Authorization": f"Bearer {self.fleet.operator_key}"}
        resp = http.request("POST", f"http://{self.addresses[0]}{path}", body=data, headers=headers)
        return resp.status, json.loads(resp.data)["error"]["code"]

    def test_bad_bodies_are_refused_in_the_common_form(self):
        # Guards against HTTP 500, and values that msgpack or the table service cannot store.
        good = {"op_id": "operation-1", "changes": [{"key": "zone/x", "value": None}]}
        for body in (
            b"",
            b"{",
            b"\xff\xfe",
            b"[]",
            b"null",
            b'{"op_id": 5, "changes": []}',
            json.dumps({**good, "changes": {}}).encode(),
            json.dumps({**good, "surplus": 1}).encode(),
            json.dumps({**good, "base_version": "1"}).encode(),
            json.dumps({**good, "changes": [{"key": "zone/x", "value": []}]}).encode(),
            json.dumps({**good, "changes": [{"key": "zone/x"}]}).encode(),
            b'{"op_id": "operation-1", "changes": [], "changes": []}',
            b'{"op_id": "operation-1", "changes": [{"key": "zone/x", "value": {"a": NaN}}]}',
            b"[" * 100_000,
        ):
            self.assertEqual(self.post(body), (400, 4001), body[:60])
        self.assertEqual(self.post(b" " * (2 << 20)), (413, 4004))
        self.assertEqual(self.post(json.dumps({**good, "op_id": "x y"}).encode()), (400, 4903))
        nested = contract_row("x", key_hashes=["\ud800"])
        change = {**good, "changes": [{"key": "contract/x", "value": nested}]}
        self.assertEqual(self.post(json.dumps(change).encode()), (400, 4903))
        self.assertEqual(self.post(b"{}", "/admin/none"), (404, 4905))

    def test_bad_questions_are_refused(self):
        # Guards against HTTP 500 for a mistyped URL.
        for path, code in (
            ("/admin/config/spread", 4001),
            ("/admin/config/spread?version=-1", 4001),
            ("/admin/config/spread?version=1e9", 4001),
            ("/admin/accounts/none", 4905),
            ("/admin/config/apply", 4905),
        ):
            found = self.fleet.admin(self.daemons[0], path)
            self.assertEqual(found["error"]["code"], code, path)
