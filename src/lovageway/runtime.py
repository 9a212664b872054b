"""Drives a node: serialises its events and delivers its effects to their receivers."""

import queue
import threading
from collections.abc import Callable
from typing import TypeVar

from lovageway.events import (
    ApplyDone,
    Effect,
    Event,
    Finish,
    Refuse,
    Replay,
    ResumeAttempt,
    StartAttempt,
)
from lovageway.node import Node

T = TypeVar("T")
Mailbox = queue.SimpleQueue[ApplyDone]


class Runtime:
    """Submits events to a node under a lock and dispatches its effects.

    Parameters
    ----------
    node
        Node that decides.
    clock
        Monotonic time in seconds.
    perform
        Performs an effect that belongs to no request or operation; must not block.
    """

    def __init__(
        self, node: Node, clock: Callable[[], float], perform: Callable[[Effect], None]
    ) -> None:
        self._node = node
        self._clock = clock
        self._perform = perform
        self._lock = threading.Lock()
        self._subscribers: dict[str, Callable[..., None]] = {}

    def open(self, key: str) -> Mailbox:
        """Return a mailbox for the effects of the request or operation `key`."""
        box: Mailbox = queue.SimpleQueue()
        self.subscribe(key, box.put)
        return box

    def subscribe(self, key: str, put: Callable[..., None]) -> None:
        """Pass the effects of the request or operation `key` to `put`, which must not block.

        `put` is called under the lock, in the thread that submits the event.
        """
        with self._lock:
            self._subscribers[key] = put

    def close(self, key: str) -> None:
        """Remove the mailbox or subscriber of `key`; its later effects are dropped."""
        with self._lock:
            self._subscribers.pop(key, None)

    def submit(self, event: Event) -> None:
        """Pass an event to the node and dispatch its effects."""
        with self._lock:
            for effect in self._node.handle(event, self._clock()):
                self._dispatch(effect)

    def read(self, query: Callable[[Node, float], T]) -> T:
        """Return the result of `query(node, now)`, which must not change the node."""
        with self._lock:
            return query(self._node, self._clock())

    def _dispatch(self, effect: Effect) -> None:
        match effect:
            case StartAttempt() | ResumeAttempt() | Refuse() | Replay() | Finish():
                put = self._subscribers.get(effect.request_id)
            case ApplyDone():
                put = self._subscribers.get(effect.reply_to or effect.op_id)
            case _:
                self._perform(effect)
                return
        if put is not None:
            put(effect)
