"""Tests of the list of mechanisms that can be switched off for trials."""

import shutil
import tempfile
import unittest
from pathlib import Path

from bench import ablations


class Ablations(unittest.TestCase):
    def test_each_ablation_changes_its_module_and_leaves_it_readable(self):
        # Guards against a trial that silently plays the code with the mechanism still on.
        for name, ablation in ablations.ABLATIONS.items():
            with self.subTest(name=name), tempfile.TemporaryDirectory() as folder:
                module = Path(folder) / ablations.SOURCES / ablation.module
                module.parent.mkdir(parents=True)
                shutil.copy(ablations.SOURCES / ablation.module, module)
                before = module.read_text()
                ablations.apply(name, Path(folder))
                self.assertNotEqual(module.read_text(), before)
                compile(module.read_text(), str(module), "exec")
                with self.assertRaises(ValueError):
                    ablations.apply(name, Path(folder))


if __name__ == "__main__":
    unittest.main()
