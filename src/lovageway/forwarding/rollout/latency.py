"""Tells answers that took several times as long as the old version usually takes on a route."""

from lovageway.forwarding.model import Route

SLOW_FACTOR = 3.0
MIN_ANSWERS = 5  # of the old version, before its usual time is known
GAIN = 0.15  # weight of the newest answer in the moving average


class UsualLatency:
    """Moving average of the old version's answer times, by route."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, float]] = {}  # number of answers, average in seconds

    def is_slow(self, route: Route, latency_s: float) -> bool:
        """Return whether an answer took far longer than usual; False while that is unknown.

        Answers within half of the route's target are never slow: users do not notice them.
        """
        count, usual_s = self._seen.get(route.name, (0, 0.0))
        if count < MIN_ANSWERS or latency_s <= 0.5 * route.target_s:
            return False
        return latency_s > SLOW_FACTOR * usual_s

    def add(self, route: Route, latency_s: float) -> None:
        """Add an answer of the old version."""
        count, usual_s = self._seen.get(route.name, (0, 0.0))
        gain = max(GAIN, 1 / (count + 1))
        self._seen[route.name] = (count + 1, usual_s + gain * (latency_s - usual_s))
