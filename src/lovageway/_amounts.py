"""Compact encoding of the amounts in share messages.

A msgpack float takes 9 bytes. On the wire an integral amount is an integer, and any other multiple
of 1/256 is a negative integer that counts these fractions. All other amounts remain floats.
"""

import math
from collections.abc import Callable

FRACTIONS_PER_UNIT = 256  # a power of two, so that multiples of its reciprocal are exact floats
MIN_INTEGRAL = 128.0  # from here on, rounding to an integer changes an amount by less than 0.8 %
_MAX_EXACT_INTEGER = float(1 << 53)


def round_for_wire(amount: float, rounding: Callable[[float], int] = math.floor) -> float:
    """Return the amount rounded by less than 0.8 % to one with a compact encoding."""
    if amount >= MIN_INTEGRAL:
        return float(rounding(amount))
    if amount >= 1.0:
        return rounding(amount * FRACTIONS_PER_UNIT) / FRACTIONS_PER_UNIT
    return amount  # a limit far below one per second must not be rounded to zero


def encode_amounts(amounts: tuple[float, ...]) -> list[float]:
    """Return the amounts in their compact encoding."""
    return [_encode(amount) for amount in amounts]


def decode_amounts(amounts: tuple[float, ...]) -> tuple[float, ...]:
    """Return the amounts that `encode_amounts` was called with."""
    return tuple(-amount / FRACTIONS_PER_UNIT if amount < 0 else amount for amount in amounts)


def _encode(amount: float) -> float:
    amount = max(0.0, amount)
    if amount < _MAX_EXACT_INTEGER and amount == int(amount):
        return int(amount)
    fractions = amount * FRACTIONS_PER_UNIT
    return -int(fractions) if amount < MIN_INTEGRAL and fractions == int(fractions) else amount
