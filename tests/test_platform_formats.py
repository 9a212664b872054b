"""Tests of decoding the platform's settings, rows, heads and answers."""

import base64
import json
import tempfile
import unittest
from pathlib import Path

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from standins.replica import Replica

from lovageway.forwarding.model import Address, Repeat, Row, Statement
from lovageway.platform import engines, heads, names, records, store
from lovageway.platform import settings as platform_settings
from tests.relayworld import config

SETTINGS = {
    "node_name": "edge-1",
    "ip": "10.1.0.19",
    "zone": "z1",
    "region": "r1",
    "zones": {"z1": "r1"},
    "listen": {
        "frontend": "10.1.0.19:8740",
        "ready": "10.1.0.19:8749",
        "control_plane": "10.1.0.19:8748",
        "directory_service": "10.1.0.19:8746",
    },
    "internal_port_range": [7200, 7215],
    "seed_nodes": ["10.2.0.13:8748"],
    "limits": {"memory_mb": 150, "file_descriptors": 4100},
    "bounds": {"drain_ms": 2500, "retry_budget_extra": 54},
    "platform": {"address": "10.200.1.7:8742", "writes_per_s": 400, "reads_per_s": 2000},
}

NUMBER = r" ?[-+]?[0-9][0-9_]{0,11}(e[0-9]{1,3})? ?"
NUMBER_FIELDS = ("Token-Usage", "Length-Hint", "Prompt-Prefix", "Deadline-Ms")


class Settings(unittest.TestCase):
    def load(self, fields):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.yaml"
            path.write_text(fields if isinstance(fields, str) else yaml.safe_dump(fields))
            return platform_settings.load(path)

    def test_times_are_in_seconds_and_addresses_are_split(self):
        cfg = self.load(SETTINGS).ok
        self.assertEqual(cfg.listen, Address("10.1.0.19", 8740))
        self.assertEqual(cfg.bounds.drain_s, 2.5)
        self.assertEqual(cfg.seeds, ("10.2.0.13",))

    def test_unknown_fields_are_ignored_and_optional_ones_may_be_missing(self):
        # Guards against a daemon that fails to start because the platform added a field.
        fields = {**SETTINGS, "new_field": {"a": 1}, "seed_nodes": None}
        del fields["bounds"], fields["limits"]
        self.assertTrue(self.load(fields).is_ok())

    def test_a_field_of_another_type_is_named(self):
        # Guards against a crash loop whose log does not name the field to correct.
        wrong = (
            ("zone", 7),
            ("ip", ""),
            ("listen.frontend", "10.1.0.19"),
            ("listen.ready", None),
            ("internal_port_range", [7200]),
            ("internal_port_range", [7215, 7200]),
            ("seed_nodes", "10.1.0.19:8748"),
            ("seed_nodes", [8748]),
            ("zones", ["z1"]),
            ("bounds", 3),
            ("bounds.drain_ms", "soon"),
            ("bounds.cold_overshoot", -1),
            ("bounds.grace_period_s", float("nan")),
            ("limits.memory_mb", True),
            ("platform.address", "nowhere"),
            ("platform", None),
        )
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "settings"
        for name, value in wrong:
            table, _, field = name.rpartition(".")
            changed = {**SETTINGS.get(table, {}), field: value} if table else value
            path.write_text(json.dumps({**SETTINGS, table or name: changed}))
            with self.subTest(name=name, value=value):
                self.assertIn(name, platform_settings.load(path).error)

    def test_zero_bounds_no_zones_and_no_seeds_are_valid(self):
        # Guards against a daemon that fails to start because a bound is disabled with 0.
        fields = {**SETTINGS, "zones": {}, "seed_nodes": [], "bounds": {"drain_ms": 0}}
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "settings"
        path.write_text(json.dumps(fields))
        found = platform_settings.load(path).ok
        self.assertEqual((found.bounds.drain_s, found.seeds), (0.0, ()))
        self.assertEqual((found.region, found.regions_of_zones), ("r1", {}))

    def test_json_and_yaml_give_the_same_settings(self):
        # Guards against settings that can be read in only one of the two formats.
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "settings"
        found = []
        for text in (json.dumps(SETTINGS), yaml.safe_dump(SETTINGS)):
            path.write_text(text)
            found.append(platform_settings.load(path).ok)
        self.assertEqual(*found)
        for text in ("[]", "3", "{", "a: [", ""):
            path.write_text(text)
            self.assertTrue(platform_settings.load(path).is_error(), text)

    def test_an_error_names_the_field(self):
        # Guards against errors that do not name the field that the operator must correct.
        fields = dict(SETTINGS)
        del fields["zone"]
        self.assertIn("'zone'", self.load(fields).error)
        self.assertTrue(self.load("a: [").is_error())
        self.assertTrue(self.load({**SETTINGS, "listen": 7}).is_error())


class Records(unittest.TestCase):
    def row(self, value, key="i-1", table="servers"):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return Row(table, key, data, 1)

    def server(self, **fields):
        known = {"service": "s", "address": "10.0.0.1:80", "zone": "z1", "slots": 6}
        return {**known, "state": "ready", "cold_remaining_ms": 900, "born": 5, **fields}

    def test_a_server_is_decoded_with_the_region_of_its_zone(self):
        found = records.replica(self.row(self.server()), {"z1": "r1"})
        self.assertEqual((found.region, found.cold_s, found.leaving), ("r1", 0.9, False))
        leaving = records.replica(self.row(self.server(state="draining")), {})
        self.assertTrue(leaving.leaving)

    def test_a_malformed_entry_names_no_server(self):
        # Guards against rows that another writer put into the table.
        odd = [b"\xff", b"[]", {}, self.server(state="odd"), self.server(slots="6")]
        odd += [self.server(address=7), self.server(cold_remaining_ms="x"), self.server(slots=True)]
        for value in odd:
            with self.subTest(value=value), self.assertRaises(records.UnreadableRowError):
                records.replica(self.row(value), {})

    def test_a_configuration_is_decoded(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        fields = config(7)
        fields["routes"][0].pop("service")
        fields["routes"][0]["traffic_split"] = split
        found = records.config(self.row(fields, "config", "op"))
        self.assertEqual(found.version, 7)
        self.assertEqual(found.routes[0].services, (("a", 90.0), ("b", 10.0)))
        self.assertIs(found.routes[0].repeat, Repeat.IDEMPOTENT)
        self.assertEqual(found.accounts["key-a"].name, "acc")

    def test_the_operators_rows_are_distinguished(self):
        self.assertTrue(records.is_config(self.row({}, "config", "op")))
        self.assertEqual(records.evacuated_zone(self.row({}, "evacuate/z1", "op")), "z1")
        self.assertIsNone(records.evacuated_zone(self.row({}, "config", "op")))

    @settings(derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_refused(self, value):
        # Fuzzing: no row may crash the daemon.
        for decode in (lambda r: records.replica(r, {}), records.config):
            try:
                decode(self.row(value))
            except records.UnreadableRowError:
                continue

    def test_invalid_numbers_and_deeply_nested_values_are_refused(self):
        # Guards against a server that stays cold forever, and against rows that crash the daemon.
        entry = Replica().entry()
        self.assertEqual(records.replica(self.row(entry), {}).id, "i-1")
        wrong = [
            {**entry, "cold_remaining_ms": value}
            for value in (float("nan"), float("inf"), -1, True, "5")
        ]
        wrong += [{**entry, "cold_remaining_ms": value} for value in (1e308, 10**300)]
        wrong += [{**entry, "born": value} for value in (1.5, True, "1", None, -1, 10**300)]
        wrong += [{**entry, "slots": value} for value in (0, -1, 10**300, 1.5)]
        hosts = ("", "localhost", "1.2.3", "127.0.0.1\0", "::1")
        addresses = [f"127.0.0.1:{port}" for port in (0, -1, 70000, 10**300, "", "x")]
        addresses += [f"{host}:80" for host in hosts]
        wrong += [{**entry, "address": text} for text in addresses]
        values = [json.dumps(fields).encode() for fields in wrong]
        for value in (*values, b"[" * 100_000, b'{"a":' * 100_000):
            with self.subTest(value=value[:60]), self.assertRaises(records.UnreadableRowError):
                records.replica(self.row(value), {})
        for value in (b"[" * 100_000, json.dumps(config(float("inf"))).encode()):
            with self.subTest(value=value[:60]), self.assertRaises(records.UnreadableRowError):
                records.config(self.row(value))


class Store(unittest.TestCase):
    def test_rows_are_decoded_and_unreadable_values_are_empty(self):
        value = base64.b64encode(b"v").decode()
        rows = [
            {"table": "t", "key": "a", "row_version": 3, "value": value},
            {"table": "t", "key": "b", "row_version": 4, "value": "%%"},
            {"table": "t", "key": "c", "row_version": 5, "deleted": True},
        ]
        page = store.page(json.dumps({"rows": rows, "row_version": 9}).encode())
        self.assertEqual([row.value for row in page.rows], [b"v", b"", None])
        self.assertEqual((page.version, page.has_more), (9, False))

    def test_a_malformed_answer_is_an_error(self):
        unbounded = (b"[" * 100_000, b'{"rows": [], "row_version": 1e999}')
        for body in (b"", b"[]", b'{"rows": [1], "row_version": 1}', b'{"rows": []}', *unbounded):
            with self.subTest(body=body[:60]), self.assertRaises(store.UnreadableAnswerError):
                store.page(body)

    def test_an_answer_with_too_many_values_is_refused_before_it_is_decoded(self):
        # Guards against 4 MB of empty lists, which take 110 MB and a second to decode.
        for value in (b"[]", b"{}", b"1"):
            body = b'{"row_version": 1, "rows": [], "x": [' + b",".join([value] * 10**6) + b"]}"
            with self.subTest(value=value), self.assertRaises(store.UnreadableAnswerError):
                store.page(body)

    def test_an_era_is_a_plain_whole_number(self):
        # Guards against an odd header that makes all later answers look like old ones.
        for text, era in (("1", 1), (" 7 ", 7), ("0", 0)):
            self.assertEqual(store.era([("Store-Era", text)]), era)
        for text in ("", "-1", "1.5", "x", "9" * 5000, "\u0663"):
            with self.subTest(text=text[:5]):
                self.assertIsNone(store.era([("store-era", text)]))
        self.assertIsNone(store.era([("Other", "1")]))


class Heads(unittest.TestCase):
    REQUEST = [("Host", "H.example:80"), ("Attempt-Id", "1"), ("Authorization", "Bearer k")]

    def request(self, *more):
        return heads.request("POST", "/a/", [*self.REQUEST, *more])

    def test_numbers_of_a_request_are_within_their_bounds(self):
        # Guards against numbers that no later message can carry and no clock can add.
        for number in (-1, 10**9, 2**63, 2**64 - 1, 10**30, 10**400):
            for more in (
                [("Token-Usage", f"{number},1")],
                [("Token-Usage", f"1,{number}")],
                [("Token-Usage", "1,1"), ("Length-Hint", str(number))],
                [("Token-Usage", "1,1"), ("Prompt-Prefix", f"a:{number},b:1")],
            ):
                with self.assertRaises(heads.BadHeadError):
                    self.request(*more)
            deadline_s = self.request(("Deadline-Ms", str(number))).deadline_s
            self.assertTrue(0 <= deadline_s <= 10**6)

    @settings(derandomize=True, max_examples=300)
    @given(
        st.from_regex(rf"{NUMBER},{NUMBER}", fullmatch=True),
        st.from_regex(NUMBER, fullmatch=True),
        st.from_regex(rf"(p:{NUMBER},?){{0,3}}", fullmatch=True),
        st.from_regex(NUMBER, fullmatch=True),
    )
    def test_any_numbers_of_a_request_are_refused_or_bounded(self, sizes, hint, parts, deadline):
        fields = zip(NUMBER_FIELDS, (sizes, hint, parts, deadline), strict=True)
        try:
            found = self.request(*fields)
        except heads.BadHeadError:
            return
        self.assertTrue(found.deadline_s is None or 0 <= found.deadline_s <= 10**6)
        generation = found.generation
        counts = [generation.prompt, generation.output_limit, generation.output_hint]
        counts += [size for _, size in generation.parts]
        self.assertTrue(all(0 <= count < 10**9 for count in counts))

    def test_a_generation_is_decoded(self):
        found = self.request(
            ("Token-Usage", "1460,80"), ("Length-Hint", "40"), ("Prompt-Prefix", "a:800,b:40")
        )
        generation = found.generation
        self.assertEqual((generation.prompt, generation.output_limit), (1460, 80))
        self.assertEqual(generation.parts, (("a", 800), ("b", 40)))
        self.assertEqual((found.host, found.key), ("h.example", "k"))

    def test_hop_by_hop_headers_are_not_forwarded(self):
        # Guards against clients that name headers in Connection that servers need, so that the
        # daemon drops them.
        found = self.request(
            ("Connection", "X-Hop, Attempt-Id"), ("X-Hop", "1"), ("TE", "x"), ("X-Kept", "2")
        )
        kept = {name.lower() for name, _ in found.headers}
        self.assertEqual(kept & {"connection", "x-hop", "te", "authorization"}, set())
        self.assertLessEqual({"attempt-id", "x-kept", "host"}, kept)

    def test_malformed_heads_are_refused(self):
        for more in (("Attempt-Id", "2"), ("Deadline-Ms", "x"), ("Token-Usage", "1")):
            with self.subTest(more=more), self.assertRaises(heads.BadHeadError):
                self.request(more)

    def test_reserved_names_are_dropped_in_any_spelling(self):
        for name in names.RESERVED:
            found = self.request((name.upper(), "1"))
            self.assertNotIn(name, {key.lower() for key, _ in found.headers})

    def test_an_answers_platform_headers_are_decoded(self):
        found = heads.answer(503, "", [("Not-Executed", "1"), ("Replica-Load", "1,2,8")])
        self.assertTrue(found.not_run)
        self.assertEqual(found.load, (1, 2, 8, None))
        self.assertTrue(heads.answer(421, "", []).not_run)
        self.assertFalse(heads.answer(421, "", [("Replica-Signature", "3e1b.07")]).not_run)
        self.assertFalse(heads.answer(503, "", [("Replica-Load", "x")]).not_run)
        keep = heads.answer(200, "", [("Keep-Alive", "timeout=5, max=9")])
        self.assertEqual(keep.keep_alive_s, 5.0)

    def test_seconds_that_a_server_names_are_bounded(self):
        # Guards against a number of a server that is used without its bound. Related to review/9.
        for text, expected in {"0.5": 0.5, " 5 ": 5.0}.items():
            self.assertEqual(heads.answer(503, "", [("Retry-After", text)]).retry_after_s, expected)
        for text in ("inf", "nan", "-1", "1e400", "9" * 10, "1_0", ""):
            with self.subTest(text=text):
                found = heads.answer(503, "", [("Retry-After", text)])
                self.assertIsNone(found.retry_after_s)
                found = heads.answer(200, "", [("Keep-Alive", f"timeout={text}")])
                self.assertIsNone(found.keep_alive_s)

    def test_a_servers_load_has_three_figures_and_may_have_a_fourth(self):
        # Guards against servers whose load counts as unknown for one odd figure, and against odd
        # figures that are used.
        slow = {"1,2,8,100": 1.0, "1, 2, 8, 250": 2.5, "1,2,8,87.5": 0.875}
        odd = ("", "0", "-5", "1e3", "x", "99999999", "nan", "1,2")
        for text, slowness in [*slow.items(), *((f"1,2,8,{part}", None) for part in odd)]:
            with self.subTest(text=text):
                found = heads.answer(200, "", [("Replica-Load", text)])
                self.assertEqual(found.load, (1, 2, 8, slowness))
                self.assertEqual(found.load_unreadable, slowness is None)
        for text in ("x", "1,2", "-1,2,8", "1,,8", "1,2,99999999999"):
            found = heads.answer(200, "", [("Replica-Load", text)])
            self.assertEqual((found.load, found.load_unreadable), (None, True))

    def test_a_server_leaves_if_it_says_one(self):
        # Guards against a server that gets nothing more after an odd value.
        for text, leaving in (
            ("1", True),
            (" 1 ", True),
            ("0", False),
            ("yes", False),
            ("", False),
        ):
            found = heads.answer(200, "", [("Server-Leaving", text)])
            self.assertIs(found.statement.leaving, leaving)

    def test_a_servers_limit_is_a_plain_decimal_number_or_not_readable(self):
        # Guards against a server that gets nothing, or whatever there is, after one odd value.
        for text, per_s in (("3.7", 3.7), ("0", 0.0), ("0.2", 0.2), ("12", 12.0), (" 5 ", 5.0)):
            with self.subTest(text=text):
                self.assertEqual(self.statement(text), Statement(per_s))
        odd = ("", "-1", "+1", "nan", "inf", "1e400", "1e3", ".5", "5.", "0x1", "\u0663", "1,5")
        for text in (*odd, "9" * 10_000, "0." + "1" * 10_000):
            with self.subTest(text=text[:9]):
                self.assertEqual(self.statement(text), Statement(readable=False))
        self.assertEqual(self.statement(), Statement(None))
        self.assertEqual(self.statement("7", "2.5"), Statement(2.5))
        self.assertEqual(self.statement("7", "x"), Statement(readable=False))

    def statement(self, *limits):
        return heads.answer(200, "", [("Server-Limit", text) for text in limits]).statement

    def test_a_directory_query_is_decoded(self):
        found = heads.directory_query("/resolution?name=H&region=r1&zone=z1")
        self.assertEqual(found, ("h", "r1", "z1"))
        self.assertIsNone(heads.directory_query("/other"))


class Migrations(unittest.TestCase):
    def test_an_unreadable_answer_has_no_handle(self):
        for body in (b"", b"[]", b"\xff", b'{"kv_handle": null}', b"[" * 100_000):
            with self.subTest(body=body[:60]):
                self.assertIsNone(engines.migration_result(200, body).handle)
        found = engines.migration_result(200, b'{"kv_handle": "h", "created": 7}')
        self.assertEqual((found.handle, found.events_made), ("h", 7))
