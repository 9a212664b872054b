"""Decides when a running stream has shown that its request does not crash its server.

Load pattern: requests with one part of their prompts crash each server soon after it has begun to
answer them, beside sound streams that share the other parts; or servers are killed, one after
another or all at once, while many sound streams run on them.

A request that crashes servers does so soon after its first event. A stream that ran on for longer
is evidence for its request long before it ends, and none against it if its server ends later. So
the end of a server with many streams counts against those that had just begun, and what these share
is cleared by the streams that run on other servers, again and again while they do.
"""

PROOF_S = 1.0  # from the first event, then from each proof to the next
PROOF_EVENTS = 8  # a slow server has hardly begun after that time


class StreamProof:
    """How far the stream of one attempt has come."""

    def __init__(self) -> None:
        self._first_at: float | None = None
        self._events = 0
        self._due_at = 0.0  # when the stream is proof again

    def on_event(self, now: float) -> bool:
        """Record an event; return whether the stream is proof now, which it is now and then."""
        if self._first_at is None:
            self._first_at = now
            self._due_at = now + PROOF_S
        self._events += 1
        if self._events < PROOF_EVENTS or now < self._due_at:
            return False
        self._due_at = now + PROOF_S
        return True

    def age_s(self, now: float) -> float | None:
        """Return the time since the first event; None before it."""
        return None if self._first_at is None else now - self._first_at
