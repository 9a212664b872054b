"""Short forms of the amounts in lines of shares.

A float of msgpack has 9 bytes. On the wire a whole amount is an integer, and a multiple of 1/256 is
a negative integer that counts these parts; any other amount stays a float.
"""

import math
from collections.abc import Callable

PARTS = 256  # a power of two, so that multiples of 1/PARTS are exact as floats
WHOLE_FROM = 128.0  # rounding to whole amounts changes less than 0.8 % from here on
_MAX_EXACT = float(1 << 53)


def round_for_wire(amount: float, rounding: Callable[[float], int] = math.floor) -> float:
    """Return the amount rounded by less than 0.8 % to one that has a short form."""
    if amount >= WHOLE_FROM:
        return float(rounding(amount))
    if amount >= 1.0:
        return rounding(amount * PARTS) / PARTS
    return amount  # a limit far below one a second must not become zero


def shorten(amounts: tuple[float, ...]) -> list[float]:
    """Return the short forms of amounts."""
    return [_shorten(amount) for amount in amounts]


def restore(amounts: tuple[float, ...]) -> tuple[float, ...]:
    """Return the amounts that `shorten` was given."""
    return tuple(-amount / PARTS if amount < 0 else amount for amount in amounts)


def _shorten(amount: float) -> float:
    amount = max(0.0, amount)
    if amount < _MAX_EXACT and amount == int(amount):
        return int(amount)
    parts = amount * PARTS
    return -int(parts) if amount < WHOLE_FROM and parts == int(parts) else amount
