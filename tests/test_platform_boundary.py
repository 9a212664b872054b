"""Tests that the platform's names occur only in its adapter, which contains no decisions."""

import ast
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "lovageway"
WORDS = (
    "attempt-id",
    "replica-signature",
    "expected-replica",
    "not-executed",
    "prompt-prefix",
    "token-usage",
    "deadline-ms",
    "length-hint",
    "kv-from",
    "kv-backup",
    "kv-move",
    "kv_handle",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "row_version",
    "route_kind",
    "traffic_split",
    "api_keys",
    "cold_remaining_ms",
    "internal_port_range",
    "lovageway_node_file",
)
# Modules that the adapter may import: data types, and the daemon that it starts.
ALLOWED = {"lovageway.forwarding.model", "lovageway.forwarding"}


def imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module, [item.name for item in node.names]
        elif isinstance(node, ast.Import):
            for item in node.names:
                yield item.name, []


class Boundary(unittest.TestCase):
    def test_no_module_outside_the_folder_contains_a_name_of_the_platform(self):
        # Guards against the platform's formats spreading through the code.
        for path in SOURCE.rglob("*.py"):
            if path.parent.name == "platform":
                continue
            text = path.read_text().lower()
            with self.subTest(path=path.name):
                self.assertEqual([word for word in WORDS if word in text], [])

    def test_the_folder_imports_no_deciding_module(self):
        # Guards against an adapter that makes decisions or keeps state.
        for path in (SOURCE / "platform").glob("*.py"):
            for module, found in imports(path):
                if not module.startswith("lovageway.forwarding"):
                    continue
                with self.subTest(path=path.name, module=module):
                    self.assertIn(module, ALLOWED)
                    if module == "lovageway.forwarding":
                        self.assertEqual(found, ["relay"])

    def test_decisions_touch_no_socket_clock_or_global_random_number(self):
        # Guards against decisions that tests cannot run with their own clock and random numbers.
        modules = "mirror routes retries poison members placement replicas migration load directory"
        modules += " lifecycle events watchers traits crashrecord statements fleetshare"
        for name in modules.split():
            for module, _ in imports(SOURCE / "forwarding" / f"{name}.py"):
                with self.subTest(name=name, module=module):
                    self.assertNotIn(module, ("time", "socket", "asyncio", "threading", "os"))
                    self.assertFalse(module.startswith("lovageway.platform"))
