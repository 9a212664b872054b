"""Decides whether a stream that ended is whole, for every framing and every way to end it.

Load pattern: servers leave, migrate or reach a deadline while streams run that have neither a
length nor chunks. The end of such a stream is the end of its connection, which looks the same
whether the generation is complete or was stopped between two events.
"""

from enum import Enum
from typing import NamedTuple


class StreamEnd(Enum):
    """What the end of a stream means."""

    WHOLE = "whole"
    CUT_OFF = "cut_off"
    STOP_PENDING = "stop_pending"  # whole only if the server ended it before it was asked to stop


class EndFacts(NamedTuple):
    """What is known of a stream at its end.

    Attributes
    ----------
    arrived_whole
        Whether the answer arrived completely as far as its framing tells.
    ended_by_close
        Whether only the end of the connection, closed by the server, ended the answer.
    has_partial_event
        Whether bytes of an incomplete event are left.
    begun
        Whether an event arrived in this attempt.
    started
        Whether an event was passed to the client, in any attempt.
    stop_requested
        Whether this daemon asked the server to stop the generation.
    deadline_passed
        Whether the deadline that this daemon gave the server has passed.
    """

    arrived_whole: bool
    ended_by_close: bool
    has_partial_event: bool
    begun: bool
    started: bool
    stop_requested: bool
    deadline_passed: bool


def judge(facts: EndFacts) -> StreamEnd:
    """Return what the end of a stream with the status of a success means.

    A complete answer without events is passed on only as a whole, not within a stream.
    """
    if not facts.arrived_whole:
        return StreamEnd.CUT_OFF
    if facts.has_partial_event and (facts.started or facts.ended_by_close):
        return StreamEnd.CUT_OFF
    if not facts.ended_by_close:
        return StreamEnd.WHOLE
    if not facts.begun or facts.deadline_passed:
        return StreamEnd.CUT_OFF
    return StreamEnd.STOP_PENDING if facts.stop_requested else StreamEnd.WHOLE
