"""Listeners of a daemon and their connections."""

import asyncio
from collections.abc import Callable

from lovageway.forwarding.connections import DEFAULT_LIMITS, ClientConnection, Inbound
from lovageway.forwarding.forwarder import Forwarder
from lovageway.forwarding.model import RequestLimits
from lovageway.forwarding.state import State

BODY_COPIES = 2  # of a body: as received, and in the buffer of the connection to a server


class Listener:
    """Connections of one listening address, with the callbacks that are common to all."""

    def __init__(self, state: State, name: str) -> None:
        self.state = state
        self.name = name
        self.conns: set[ClientConnection] = set()

    def limits(self) -> RequestLimits:
        """Return the limits of the current configuration."""
        routes = self.state.routes
        return routes.cfg.limits if routes is not None else DEFAULT_LIMITS

    def should_close(self) -> bool:
        """Return whether connections are closed after an answer, as during a drain."""
        return self.state.lifecycle.leaving

    def reserve_body(self, size: int) -> bool:
        """Reserve memory for bodies within the daemon's budget; a negative size releases it."""
        if size > 0:
            return self.state.body_budget.reserve(BODY_COPIES * size)
        self.state.body_budget.release(-BODY_COPIES * size)
        return True

    def reserve_memory(self, conn: ClientConnection, size: int, held: int) -> bool:
        """Reserve memory for a connection that holds some."""
        return self.state.connection_memory.reserve(size, held, conn)

    def release_memory(self, size: int) -> None:
        """Release memory of a connection."""
        self.state.connection_memory.release(size)

    def on_activity(self, conn: ClientConnection) -> None:
        """Record that a connection was active, or came into use or out of use."""
        if conn in self.conns:
            self.state.connection_memory.on_activity(conn)

    def on_connect(self, conn: ClientConnection) -> None:
        """Add a new connection, or close it if there is no memory for it."""
        if self.state.connection_memory.admit(conn):
            self.conns.add(conn)
        else:
            self.state.log("connection_refused", listener=self.name, peer=conn.peer)
            conn.abort()

    def on_disconnect(self, conn: ClientConnection) -> None:
        """Remove a closed connection."""
        if conn in self.conns:
            self.conns.remove(conn)
            self.state.connection_memory.leave(conn)

    def on_rejected(self, status: int, reason: str) -> None:
        """Count and log a request that violated the protocol or a limit."""
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
        self._forwarders: dict[ClientConnection, Forwarder] = {}

    def handle(self, conn: ClientConnection, inbound: Inbound) -> None:
        """Serve a request in a task of its own."""
        forwarder = Forwarder(self.state, conn, inbound)
        task = asyncio.get_running_loop().create_task(forwarder.run())
        self.tasks[conn], self._forwarders[conn] = task, forwarder
        task.add_done_callback(lambda done: self._done(conn, done))

    def on_disconnect(self, conn: ClientConnection) -> None:
        """Cancel the request of a closed connection."""
        super().on_disconnect(conn)
        task = self.tasks.get(conn)
        if task is not None:
            task.cancel()

    def _done(self, conn: ClientConnection, task: asyncio.Task[None]) -> None:
        if self.tasks.get(conn) is task:
            del self.tasks[conn], self._forwarders[conn]

    def give_up_requests(self) -> None:
        """Send the final answer to each request that is not answered yet."""
        for conn, forwarder in list(self._forwarders.items()):
            forwarder.give_up(self.tasks[conn])


class LocalListener(Listener):
    """Listener whose requests the daemon answers itself, without forwarding."""

    def __init__(
        self, state: State, name: str, answer: Callable[[str], tuple[int, str, bytes]]
    ) -> None:
        super().__init__(state, name)
        self._answer = answer

    def should_close(self) -> bool:
        """Return False: these connections stay open during a drain."""
        return False

    def handle(self, conn: ClientConnection, inbound: Inbound) -> None:
        """Answer a request."""
        status, kind, body = self._answer(inbound.target)
        conn.respond(status, [("Content-Type", kind)], body)
