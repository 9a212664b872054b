"""Finds the route of a request by its host and the longest prefix of its path."""

from random import Random

from lovageway.forwarding.model import Route, RoutingConfig


class RouteTable:
    """The routes of one configuration, indexed by host and prefix.

    A look-up costs at most one dictionary access for each slash of the path, independent of the
    number of routes.
    """

    def __init__(self, cfg: RoutingConfig) -> None:
        self.cfg = cfg
        self._routes = {(route.host, route.prefix): route for route in cfg.routes}
        self._regions: dict[str, frozenset[str]] = {}
        for host in {route.host for route in cfg.routes}:
            homes = [route.regions for route in cfg.routes if route.host == host]
            bound = all(homes)
            self._regions[host] = frozenset().union(*homes) if bound else frozenset()

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def regions(self, host: str) -> frozenset[str]:
        """Return the regions that a host's routes are bound to; empty if any route is unbound."""
        return self._regions.get(host, frozenset())


def pick_service(route: Route, rng: Random) -> str:
    """Return one of the route's services, chosen at random by weight."""
    if len(route.services) == 1:
        return route.services[0][0]
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    return rng.choices(names, weights)[0] if sum(weights) > 0 else names[0]
