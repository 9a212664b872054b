"""Output lengths of finished generations, and what they predict for running ones.

Lengths fall into buckets whose bounds are powers of the square root of 2. A generation that was cut
(the caller left, the server died, `max_tokens` was reached) only shows that its length is at least
what was seen. The estimate is the product-limit estimate of Kaplan and Meier for grouped data, so
that cut generations do not pull it towards short lengths.
"""

from array import array
from bisect import bisect_right
from collections import OrderedDict
from itertools import pairwise
from math import exp, inf, log
from typing import NamedTuple

from lovageway.controllers.base import Controller

HALF_LIFE_REQUESTS = 1000
MAX_KEYS = 8192  # about 0.6 KB each; the least recently used key is forgotten
MAX_CURVES = 512
PRIOR_REQUESTS = 4.0  # weight of the wider distribution against the contract's own lengths
PRIOR_MEDIAN = 256.0  # before anything is known: log-normal, 90 % between 36 and 1,800 tokens
PRIOR_SIGMA = 1.2
MAX_LENGTH = 65536

_BOUNDS = (0, *sorted({round(2 ** (step / 2)) for step in range(33)}), inf)
_BUCKETS = len(_BOUNDS) - 1
_GROWTH = 2.0 ** (1 / HALF_LIFE_REQUESTS)
_RESCALE_AT = 2.0**20

Key = tuple[str, str, str]
"""Account, service, request class; the account is "" for all contracts together."""


class Curve(NamedTuple):
    """Distribution of the output length in tokens."""

    survival: tuple[float, ...]  # at each bound but the last: probability of a length above it
    tail: tuple[float, ...]  # at each bound but the last: expected tokens beyond it, times survival

    def quantile(self, part: float) -> int:
        """Return the length that `part` of the generations do not exceed."""
        return round(self._invert(1.0 - part))

    def remainder(self, length: int, limit: int = MAX_LENGTH) -> float:
        """Return the expected number of further tokens of a generation that has `length`.

        Parameters
        ----------
        limit
            Length at which the generation is ended at the latest (`max_tokens`).
        """
        limit = min(limit, MAX_LENGTH)
        if length >= limit:
            return 0.0
        alive, beyond = self._at(length)
        if alive < 1e-9:
            return min(float(limit - length), max(1.0, length / 2))
        return (beyond - self._at(limit)[1]) / alive

    def _at(self, length: int) -> tuple[float, float]:
        """Return survival at `length` and the area under survival beyond it."""
        bucket = min(bisect_right(_BOUNDS, length), len(self.survival) - 1) - 1
        low, high = _BOUNDS[bucket], _BOUNDS[bucket + 1]
        share = (length - low) / (high - low)
        end = self.survival[bucket + 1]
        alive = self.survival[bucket] * (1 - share) + end * share
        return alive, (alive + end) / 2 * (high - length) + self.tail[bucket + 1]

    def _invert(self, level: float) -> float:
        """Return the length at which survival has fallen to `level`."""
        for number, (before, after) in enumerate(pairwise(self.survival)):
            if after <= level:
                low, high = _BOUNDS[number], _BOUNDS[number + 1]
                share = (before - level) / (before - after) if before > after else 0.0
                return low + max(0.0, share) * (high - low)
        return float(MAX_LENGTH)


class _Histogram:
    """Weights of finished and cut lengths; newer ones weigh more in place of decaying all."""

    __slots__ = ("counts", "unit", "seen")

    def __init__(self) -> None:
        self.counts = array("d", bytes(16 * _BUCKETS))  # finished, then cut
        self.unit = 1.0
        self.seen = 0

    def add(self, length: int, cut: bool) -> None:
        self.counts[_bucket(length) + (_BUCKETS if cut else 0)] += self.unit
        self.seen += 1
        self.unit *= _GROWTH
        if self.unit > _RESCALE_AT:
            self.counts = array("d", (count / self.unit for count in self.counts))
            self.unit = 1.0


class Lengths(Controller):
    """Owner of the output-length histograms."""

    def __init__(self) -> None:
        self._histograms: OrderedDict[Key, _Histogram] = OrderedDict()
        self._curves: OrderedDict[Key, tuple[int, Curve]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._histograms)

    def observe(
        self, account: str, service: str, request_class: str, length: int, cut: bool
    ) -> None:
        """Take the output length of a generation that has ended.

        Parameters
        ----------
        length
            Output tokens.
        cut
            The generation would have gone on.
        """
        for key in ((account, service, request_class), ("", service, request_class)):
            found = self._histograms.get(key)
            if found is None:
                found = self._histograms[key] = _Histogram()
            self._histograms.move_to_end(key)
            found.add(length, cut)
        while len(self._histograms) > MAX_KEYS:
            old, _ = self._histograms.popitem(last=False)
            self._curves.pop(old, None)

    def curve(self, account: str, service: str, request_class: str) -> Curve:
        """Return the distribution of the contract's output lengths.

        A contract with few generations leans on those of all contracts at the service, and these
        lean on a fixed distribution.
        """
        key = (account, service, request_class)
        found = self._histograms.get(key)
        if found is None:
            return self.curve("", service, request_class) if account else _PRIOR
        old = self._curves.get(key)
        # Recomputing costs about 40 us, so it is done after each 1/16 of new observations.
        if old is not None and found.seen - old[0] <= min(64, old[0] // 16):
            self._curves.move_to_end(key)
            return old[1]
        prior = self.curve("", service, request_class) if account else _PRIOR
        curve = _estimate(found, prior)
        self._curves[key] = (found.seen, curve)
        while len(self._curves) > MAX_CURVES:
            self._curves.popitem(last=False)
        return curve

    def dump(self, now: float) -> dict[str, object]:
        """Return the number of histograms and the distribution at each service."""
        services = {
            f"{service}/{kind}": self.curve("", service, kind)
            for account, service, kind in self._histograms
            if not account
        }
        return {
            "histograms": len(self),
            "services": {
                name: {"p50": curve.quantile(0.5), "p80": curve.quantile(0.8)}
                for name, curve in services.items()
            },
        }


def _bucket(length: int) -> int:
    """Return the bucket (low, high] that holds the length."""
    return min(max(bisect_right(_BOUNDS, length - 1) - 1, 0), _BUCKETS - 2)


def _estimate(histogram: _Histogram, prior: Curve) -> Curve:
    finished = [count / histogram.unit for count in histogram.counts[:_BUCKETS]]
    cut = [count / histogram.unit for count in histogram.counts[_BUCKETS:]]
    at_risk = PRIOR_REQUESTS + sum(finished) + sum(cut)
    survival = [1.0]
    for number in range(_BUCKETS - 1):
        before, after = prior.survival[number], prior.survival[number + 1]
        ended = finished[number] + PRIOR_REQUESTS * (before - after)
        # A generation that was cut inside the bucket was at risk for half of it on average.
        exposed = at_risk - cut[number] / 2
        hazard = min(1.0, ended / exposed) if exposed > 1e-9 else 1.0
        survival.append(survival[-1] * (1.0 - hazard))
        at_risk -= ended + cut[number]
    survival[-1] = 0.0
    return _curve(survival)


def _curve(survival: list[float]) -> Curve:
    tail = [0.0] * len(survival)
    for number in range(len(survival) - 2, -1, -1):
        width = _BOUNDS[number + 1] - _BOUNDS[number]
        area = (survival[number] + survival[number + 1]) / 2 * width
        tail[number] = tail[number + 1] + area
    return Curve(tuple(survival), tuple(tail))


def _prior() -> Curve:
    """Return a distribution close to log-normal (logistic in the logarithm of the length)."""
    slope = 1.702 / PRIOR_SIGMA  # makes the logistic distribution match the normal one
    levels = [1.0]
    for bound in _BOUNDS[1:-1]:
        levels.append(1.0 / (1.0 + exp(slope * (log(bound) - log(PRIOR_MEDIAN)))))
    levels[-1] = 0.0
    return _curve(levels)


_PRIOR = _prior()
