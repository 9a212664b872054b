"""Drives a node: one lock, one mailbox for each open request, execution of the other effects."""

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
    """Serialises events into a node and hands its effects out.

    Parameters
    ----------
    node
        The decisions.
    clock
        Monotonic time in seconds.
    perform
        Carries out an effect that belongs to no request; must not block.
    """

    def __init__(
        self, node: Node, clock: Callable[[], float], perform: Callable[[Effect], None]
    ) -> None:
        self._node = node
        self._clock = clock
        self._perform = perform
        self._lock = threading.Lock()
        self._mailboxes: dict[str, Callable[..., None]] = {}

    def open(self, key: str) -> Mailbox:
        """Return a mailbox for the effects of the request or operation `key`."""
        box: Mailbox = queue.SimpleQueue()
        self.subscribe(key, box.put)
        return box

    def subscribe(self, key: str, put: Callable[..., None]) -> None:
        """Give the effects of the request or operation `key` to `put`, which must not block.

        `put` is called under the lock, by whichever thread submits the event.
        """
        with self._lock:
            self._mailboxes[key] = put

    def close(self, key: str) -> None:
        """Drop a mailbox; effects that come later are dropped as well."""
        with self._lock:
            self._mailboxes.pop(key, None)

    def submit(self, event: Event) -> None:
        """Give an event to the node and hand out its effects."""
        with self._lock:
            for effect in self._node.handle(event, self._clock()):
                self._dispatch(effect)

    def read(self, look: Callable[[Node, float], T]) -> T:
        """Return what `look(node, now)` finds; it must not change the node."""
        with self._lock:
            return look(self._node, self._clock())

    def _dispatch(self, effect: Effect) -> None:
        match effect:
            case StartAttempt() | ResumeAttempt() | Refuse() | Replay() | Finish():
                put = self._mailboxes.get(effect.request_id)
            case ApplyDone():
                put = self._mailboxes.get(effect.reply_to or effect.op_id)
            case _:
                self._perform(effect)
                return
        if put is not None:
            put(effect)
