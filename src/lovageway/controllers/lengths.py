"""Output lengths of ended generations, and predictions for running ones.

Lengths are counted in buckets whose bounds are powers of the square root of 2. A generation that
was ended early (the caller left, the server died, `max_tokens` was reached) is censored: its length
is only a lower bound. The estimate is the product-limit estimate of Kaplan and Meier for grouped
data, so that censored generations do not bias it towards short lengths.
"""

from array import array
from bisect import bisect_right
from collections import OrderedDict
from itertools import pairwise
from math import exp, inf, log
from typing import NamedTuple

from lovageway.controllers.base import Controller

HALF_LIFE_REQUESTS = 1000
MAX_KEYS = 8192  # about 0.6 KB each; the least recently used key is removed
MAX_CURVES = 512
# Weight of the more general distribution against the contract's own lengths.
PRIOR_WEIGHT_REQUESTS = 4.0
# Without any observation: log-normal, 90 % between 36 and 1,800 tokens.
PRIOR_MEDIAN = 256.0
PRIOR_SIGMA = 1.2
MAX_LENGTH = 65536

_BOUNDS = (0, *sorted({round(2 ** (step / 2)) for step in range(33)}), inf)
_BUCKETS = len(_BOUNDS) - 1
_GROWTH = 2.0 ** (1 / HALF_LIFE_REQUESTS)
_RESCALE_AT = 2.0**20

Key = tuple[str, str, str]
"""Account, service and request class; the account is "" for all contracts together."""


class Curve(NamedTuple):
    """Distribution of the output length in tokens."""

    survival: tuple[float, ...]  # probability of a length above each bound but the last
    tail: tuple[float, ...]  # survival times expected tokens beyond each bound but the last

    def quantile(self, fraction: float) -> int:
        """Return the length that `fraction` of the generations do not exceed."""
        return round(self._length_at(1.0 - fraction))

    def remainder(self, length: int, limit: int = MAX_LENGTH) -> float:
        """Return the expected number of further tokens of a generation with `length` tokens.

        Parameters
        ----------
        limit
            Length at which the generation ends at the latest (`max_tokens`).
        """
        limit = min(limit, MAX_LENGTH)
        if length >= limit:
            return 0.0
        alive, beyond = self._survival_at(length)
        if alive < 1e-9:
            return min(float(limit - length), max(1.0, length / 2))
        return (beyond - self._survival_at(limit)[1]) / alive

    def _survival_at(self, length: int) -> tuple[float, float]:
        """Return survival at `length` and the area under survival beyond it."""
        bucket = min(bisect_right(_BOUNDS, length), len(self.survival) - 1) - 1
        low, high = _BOUNDS[bucket], _BOUNDS[bucket + 1]
        fraction = (length - low) / (high - low)
        end = self.survival[bucket + 1]
        alive = self.survival[bucket] * (1 - fraction) + end * fraction
        return alive, (alive + end) / 2 * (high - length) + self.tail[bucket + 1]

    def _length_at(self, level: float) -> float:
        """Return the length at which survival has fallen to `level`."""
        for number, (before, after) in enumerate(pairwise(self.survival)):
            if after <= level:
                low, high = _BOUNDS[number], _BOUNDS[number + 1]
                fraction = (before - level) / (before - after) if before > after else 0.0
                return low + max(0.0, fraction) * (high - low)
        return float(MAX_LENGTH)


class _Histogram:
    """Weights of finished and censored lengths.

    Older lengths decay in relation to newer ones, because the weight of each new one is higher.
    """

    __slots__ = ("counts", "unit", "seen")

    def __init__(self) -> None:
        self.counts = array("d", bytes(16 * _BUCKETS))  # finished, then censored
        self.unit = 1.0
        self.seen = 0

    def add(self, length: int, censored: bool) -> None:
        self.counts[_bucket(length) + (_BUCKETS if censored else 0)] += self.unit
        self.seen += 1
        self.unit *= _GROWTH
        if self.unit > _RESCALE_AT:
            self.counts = array("d", (count / self.unit for count in self.counts))
            self.unit = 1.0


class Lengths(Controller):
    """Histograms of output lengths, and the distributions estimated from them."""

    def __init__(self) -> None:
        self._histograms: OrderedDict[Key, _Histogram] = OrderedDict()
        self._curves: OrderedDict[Key, tuple[int, Curve]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._histograms)

    def observe(
        self, account: str, service: str, request_class: str, length: int, censored: bool
    ) -> None:
        """Record the output length of a generation that has ended.

        Parameters
        ----------
        length
            Output tokens.
        censored
            Whether the generation was ended early, so that `length` is a lower bound.
        """
        for key in ((account, service, request_class), ("", service, request_class)):
            found = self._histograms.get(key)
            if found is None:
                found = self._histograms[key] = _Histogram()
            self._histograms.move_to_end(key)
            found.add(length, censored)
        while len(self._histograms) > MAX_KEYS:
            old, _ = self._histograms.popitem(last=False)
            self._curves.pop(old, None)

    def curve(self, account: str, service: str, request_class: str) -> Curve:
        """Return the distribution of the contract's output lengths.

        With few generations of the contract, the estimate tends to that of all contracts at the
        service, which in turn tends to a fixed distribution.
        """
        key = (account, service, request_class)
        found = self._histograms.get(key)
        if found is None:
            return self.curve("", service, request_class) if account else _PRIOR
        old = self._curves.get(key)
        # Computing the curve takes about 40 us, so it is repeated only when the number of
        # observations has grown by 1/16.
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
            f"{service}/{request_class}": self.curve("", service, request_class)
            for account, service, request_class in self._histograms
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
    """Return the index of the bucket (low, high] that contains the length."""
    return min(max(bisect_right(_BOUNDS, length - 1) - 1, 0), _BUCKETS - 2)


def _estimate(histogram: _Histogram, prior: Curve) -> Curve:
    finished = [count / histogram.unit for count in histogram.counts[:_BUCKETS]]
    censored = [count / histogram.unit for count in histogram.counts[_BUCKETS:]]
    at_risk = PRIOR_WEIGHT_REQUESTS + sum(finished) + sum(censored)
    survival = [1.0]
    for number in range(_BUCKETS - 1):
        before, after = prior.survival[number], prior.survival[number + 1]
        ended = finished[number] + PRIOR_WEIGHT_REQUESTS * (before - after)
        # A generation that was censored in this bucket was at risk for half of it on average.
        exposed = at_risk - censored[number] / 2
        hazard = min(1.0, ended / exposed) if exposed > 1e-9 else 1.0
        survival.append(survival[-1] * (1.0 - hazard))
        at_risk -= ended + censored[number]
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
