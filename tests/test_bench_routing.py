"""The routing benchmark: a short run to the end, and its seeded arrivals."""

import re
import subprocess
import sys
import unittest

from bench.workload import DEPLOYMENTS, arrivals


class RoutingBench(unittest.TestCase):
    def test_a_short_run_prints_a_table_with_served_requests(self):
        # Guards against a benchmark that breaks unnoticed: CI runs it nowhere else.
        command = [sys.executable, "-m", "bench.routing", "--deployments", "jar", "--seeds", "1"]
        command += ["--policies", "least_requests", "memory", "--scale", "0.4"]
        command += ["--warmup", "1", "--seconds", "3", "--drain", "8"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=180)
        self.assertEqual(done.returncode, 0, done.stderr)
        rows = re.findall(r"^\| (\w+) \| (long|short|call) \| (\d+) \| (\d+) ", done.stdout, re.M)
        self.assertEqual(len(rows), 6, done.stdout)
        for policy, kind, offered, served in rows:
            self.assertGreater(int(offered), 0, (policy, kind))
            self.assertGreater(int(served), 0, (policy, kind, done.stdout))

    def test_arrivals_depend_on_the_seed_alone(self):
        # Guards against a comparison of policies under different requests.
        dep = DEPLOYMENTS["gate"]
        self.assertEqual(arrivals(dep, 10, 3, 5), arrivals(dep, 10, 3, 5))
        self.assertNotEqual(arrivals(dep, 10, 3, 5), arrivals(dep, 10, 3, 6))


if __name__ == "__main__":
    unittest.main()
