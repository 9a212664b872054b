"""The example files pass the validation of the code that reads them."""

import unittest
from pathlib import Path

from lovageway import settings
from lovageway._changes import read_file
from lovageway.controllers._rows import validate
from lovageway.model import EMPTY_SNAPSHOT, Change

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


class Examples(unittest.TestCase):
    def test_the_settings_of_an_entry_vm_have_no_problems(self):
        # Guards against example settings with which a daemon does not start.
        self.assertTrue(settings.load(EXAMPLES / "entry.toml").is_ok())

    def test_the_configurations_of_both_deployments_are_valid(self):
        # Guards against an example that 'lovageway config apply' rejects.
        for name in ("jar-returns", "kanmon"):
            with self.subTest(example=name):
                rows = read_file(EXAMPLES / f"{name}.toml")
                changes = [Change(key, value) for key, value in rows.items()]
                self.assertEqual(validate(EMPTY_SNAPSHOT, {}, changes), [])
