"""Tests of the route table."""

import unittest
from random import Random

from lovageway.forwarding.routes import RouteTable, pick_service
from tests.replicabuilders import route, routing_config


class Match(unittest.TestCase):
    def test_the_longest_prefix_of_the_host_wins(self):
        # Guards against requests that reach the service of a shorter or of another host's route.
        table = RouteTable(
            routing_config(route("/a/"), route("/a/b/"), route("/a/b/", host="other"), route("/"))
        )
        for target, expected in {
            "/a/b/c?x=/a/": "h/a/b/",
            "/a/b": "h/a/",
            "/a/": "h/a/",
            "/z": "h/",
        }.items():
            with self.subTest(target=target):
                self.assertEqual(table.match("h", target).name, expected)
        self.assertIsNone(table.match("nobody", "/a/b"))

    def test_the_cost_does_not_grow_with_the_number_of_routes(self):
        # Guards against a scan of all routes for each request of a big configuration.
        table = RouteTable(routing_config(*[route(f"/p{n}/") for n in range(5000)]))
        seen = []
        table._routes = _Counting(table._routes, seen)
        table.match("h", "/p4999/a/b")
        self.assertLessEqual(len(seen), 4)

    def test_work_is_split_by_weight(self):
        # Guards against a split that sends everything to one service.
        split = route(services=(("one", 90.0), ("two", 10.0)))
        rng = Random(7)
        share = sum(pick_service(split, rng) == "two" for _ in range(2000)) / 2000
        self.assertAlmostEqual(share, 0.1, delta=0.03)

    def test_a_hosts_regions_bind_only_if_all_its_routes_have_some(self):
        # Guards against a directory that excludes clients of unbound routes.
        bound = route("/a/", regions=frozenset({"r1"}))
        self.assertEqual(RouteTable(routing_config(bound)).regions("h"), {"r1"})
        self.assertEqual(RouteTable(routing_config(bound, route("/b/"))).regions("h"), set())


class _Counting(dict):
    def __init__(self, items, seen):
        super().__init__(items)
        self.seen = seen

    def get(self, key, default=None):
        self.seen.append(key)
        return super().get(key, default)
