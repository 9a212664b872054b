"""Tests of the check of a route table before it is sent."""

import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from lovageway import routecheck
from lovageway.cli import app
from lovageway.forwarding.model import Row
from lovageway.platform import names, records
from tests.relayworld import config, engine_service, route


def decoded(*args, **fields):
    value = json.dumps(config(*args, **fields)).encode()
    return records.config(Row(names.OPERATOR_TABLE, names.CONFIG_KEY, value, 0))


def kinds(**fields):
    """Return the problems of a configuration with one route and the services used."""
    known = {"services": [{"name": "svc"}], **fields}
    return [(item.kind, item.place) for item in routecheck.check(decoded(1, **known))]


class Checking(unittest.TestCase):
    def test_a_sound_configuration_has_no_problems(self):
        # Guards against warnings that operators learn to ignore.
        self.assertEqual(kinds(routes=[route(max_attempts=2)]), [])

    def test_entries_that_can_never_match_are_named(self):
        # Guards against a route, service or field that has no effect and is missed much later.
        again = [route(), route(name="s")]
        self.assertEqual(kinds(routes=again), [("unused", "route r")])  # the last one matches
        self.assertEqual(kinds(routes=[route(prefix="/a")]), [("unused", "route r")])
        self.assertEqual(
            kinds(routes=[route()], services=[{"name": "svc"}, engine_service()]),
            [("unused", "service llm")],
        )
        self.assertEqual(kinds(routes=[route(stream_resume=True)]), [("unused", "route r")])

    def test_contradictions_are_named(self):
        # Guards against limits that exclude each other, so that requests are refused or never late.
        late = route(target_latency_ms=9000)
        self.assertEqual(kinds(routes=[late]), [("contradiction", "route r")])
        none = route(traffic_split=[{"service": "svc", "weight": 0}])
        self.assertEqual(kinds(routes=[none]), [("contradiction", "route r")])
        here = [{"name": "acc", "api_keys": ["k"], "allowed_regions": ["r1"]}]
        there = route(allowed_regions=["r2"])
        self.assertEqual(kinds(routes=[there], tenants=here), [("contradiction", "account acc")])

    def test_errors_are_named(self):
        # Guards against a route to a service that is not there: all of its requests get 503.
        found = kinds(routes=[route(service="x")])
        self.assertIn(("error", "route r"), found)

    def test_differences_name_the_fields_and_no_key(self):
        # Guards against a change that nobody meant, and keys in logs.
        old = decoded(1, [route(), route(name="b", prefix="/b/")])
        tenants = [{"name": "acc", "api_keys": ["secret"], "allowed_regions": []}]
        new = decoded(2, [route(timeout_ms=1)], tenants=tenants)
        found = routecheck.compare(old, new)
        self.assertIn(routecheck.Difference("removed", "route b"), found)
        self.assertIn(routecheck.Difference("changed", "route r", ("timeout_s",)), found)
        self.assertNotIn("secret", repr(found))


class Command(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="routes-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, value):
        path = self.folder / name
        path.write_bytes(value if isinstance(value, bytes) else json.dumps(value).encode())
        return str(path)

    def run_check(self, *args):
        return CliRunner().invoke(app, ["check-routes", *args])

    def test_exit_codes_and_differences(self):
        # Guards against a script that sends a configuration with problems.
        sound = {"services": [{"name": "svc"}], "routes": [route()]}
        old = self.write("old", config(3, **sound))
        new = self.write("new", config(4, **{**sound, "routes": [route(priority=3)]}))
        shown = self.run_check(new, "--in-force", old, "--json")
        self.assertEqual(shown.exit_code, 0, shown.output)
        self.assertEqual(json.loads(shown.output)["differences"][0]["place"], "route r")
        self.assertEqual(self.run_check(old, "--in-force", new).exit_code, 1)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        st.one_of(
            st.binary(max_size=60),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.text(max_size=5),
                lambda inner: st.lists(inner, max_size=3)
                | st.dictionaries(st.sampled_from(["version", "routes", "services"]), inner),
                max_leaves=8,
            ).map(lambda value: json.dumps(value).encode()),
        )
    )
    def test_a_file_that_cannot_be_read_is_reported(self, content):
        # Guards against a trace in place of a message for a bad file.
        shown = self.run_check(self.write("bad", content))
        self.assertIn(shown.exit_code, (0, 1, 2))
        self.assertNotIn("Traceback", shown.output)
        if shown.exit_code == 2:
            self.assertIn("cannot be read", shown.output)
