"""Listening addresses of a daemon and the connections on them."""

import asyncio
from collections.abc import Callable

from lovageway.forwarding.connections import DEFAULT_LIMITS, ClientConnection, Inbound
from lovageway.forwarding.forwarder import Forwarder
from lovageway.forwarding.model import RequestLimits
from lovageway.forwarding.state import State


class Listener:
    """Connections of one listening address."""

    def __init__(self, state: State, name: str) -> None:
        self.state = state
        self.name = name
        self.conns: set[ClientConnection] = set()

    def limits(self) -> RequestLimits:
        """Return the limits in force."""
        routes = self.state.routes
        return routes.cfg.limits if routes is not None else DEFAULT_LIMITS

    def closing(self) -> bool:
        """Return whether answers ask clients to close their connections."""
        return self.state.lifecycle.leaving

    def hold_body(self, size: int) -> bool:
        """Count bytes of bodies that are kept, within a part of the daemon's memory."""
        if size > 0:
            return self.state.bodies.reserve(size)
        self.state.bodies.release(-size)
        return True

    def opened(self, conn: ClientConnection) -> None:
        """Keep a new connection."""
        self.conns.add(conn)

    def gone(self, conn: ClientConnection) -> None:
        """Forget a connection."""
        self.conns.discard(conn)

    def rejected(self, status: int, reason: str) -> None:
        """Note a request that broke the protocol or a limit."""
        self.state.telemetry.add("protocol_errors", str(status))
        self.state.log("rejected", listener=self.name, status=status, reason=reason)

    def handle(self, conn: ClientConnection, inbound: Inbound) -> None:
        """Serve a request."""
        raise NotImplementedError


class Frontend(Listener):
    """Listener for requests that are forwarded."""

    def __init__(self, state: State) -> None:
        super().__init__(state, "frontend")
        self.tasks: dict[ClientConnection, asyncio.Task[None]] = {}

    def handle(self, conn: ClientConnection, inbound: Inbound) -> None:
        """Serve a request on a task of its own."""
        forwarder = Forwarder(self.state, conn, inbound)
        task = asyncio.get_running_loop().create_task(forwarder.run())
        self.tasks[conn] = task
        task.add_done_callback(lambda done: self._done(conn, done))

    def gone(self, conn: ClientConnection) -> None:
        """Stop the work of a client that has left."""
        super().gone(conn)
        task = self.tasks.get(conn)
        if task is not None:
            task.cancel()

    def _done(self, conn: ClientConnection, task: asyncio.Task[None]) -> None:
        if self.tasks.get(conn) is task:
            del self.tasks[conn]


class Answers(Listener):
    """Listener whose questions are answered at once."""

    def __init__(
        self, state: State, name: str, answer: Callable[[str], tuple[int, str, bytes]]
    ) -> None:
        super().__init__(state, name)
        self._answer = answer

    def closing(self) -> bool:
        """Keep connections."""
        return False

    def handle(self, conn: ClientConnection, inbound: Inbound) -> None:
        """Answer a question."""
        status, kind, body = self._answer(inbound.target)
        conn.respond(status, [("Content-Type", kind)], body)
