"""Decodes the numbers in messages between daemons."""

from typing import Any

MAX_NUMBER = 2**53  # sums of as many as there are daemons still fit into a message


def whole_number(value: Any) -> int:
    """Return a whole number.

    Raises
    ------
    TypeError, ValueError, OverflowError
        It is none, or larger than any that a daemon sends.
    """
    found = int(value)
    if not -MAX_NUMBER <= found <= MAX_NUMBER:
        raise ValueError(f"{found} is larger than any number that a daemon sends")
    return found
