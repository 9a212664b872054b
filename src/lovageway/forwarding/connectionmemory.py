"""Bounds the memory that all client connections take together, and their number.

Load pattern: clients that nobody controls send heads of the permitted size that consist of
thousands of short lines, which take thirty times their size once they are parsed; they send
requests ahead and read no answer; or they open connections and send nothing. What is kept for a
connection is counted in bytes: the connection itself, heads as parsed, requests that wait, requests
that run.

Where the memory does not suffice, clients with large heads are refused first, so that ordinary
ones, which need a few kilobytes, go on. A new connection, and a request that is not large, take the
place of connections that are not in use: first of those whose clients read no answers, then of idle
ones, then of those of which a part of a request has arrived; the least recently active goes first.
"""

from typing import Protocol

from lovageway.memorybudget import DEFAULT_MEMORY_MB

SHARE = 1 / 6  # of the daemon's configured memory limit
CONNECTION_BYTES = 12 * 1024  # a connection without a request, with its buffers
REQUEST_BYTES = 10 * 1024  # a request from its head on, beside its head and body
# A header line beside its text: as received, as decoded, and as forwarded to a server.
LINE_BYTES = 450
LARGE_BYTES = 48 * 1024  # of one connection; ordinary requests need less
LARGE_SHARE = 0.5  # of the memory, that connections with more than LARGE_BYTES may use
DESCRIPTOR_SHARE = 0.6  # of the descriptors; the others are for servers, daemons and the store


class Connection(Protocol):
    """A client connection that may be closed for another one."""

    @property
    def is_in_use(self) -> bool:
        """Return whether a request of it is being served."""

    @property
    def is_unread(self) -> bool:
        """Return whether its client does not read the answers."""

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived."""

    def close_unused(self) -> None:
        """Close it without an answer, and release its memory."""


class ConnectionMemory:
    """Memory of all client connections of a daemon.

    Parameters
    ----------
    memory_mb
        The daemon's memory limit in megabytes; 0 if the settings set none.
    open_files
        Descriptors that the daemon may use; 0 if the settings set no limit.
    """

    def __init__(self, memory_mb: int, open_files: int) -> None:
        self.max_bytes = int(SHARE * (memory_mb or DEFAULT_MEMORY_MB) * 1e6)
        self.max_connections = int(DESCRIPTOR_SHARE * open_files) if open_files else 1 << 30
        self.reserved = 0
        self.connections = 0
        self.refused = 0  # requests and connections
        self.evicted = 0  # connections that were closed for new ones or for requests
        # Connections that are not in use, the least recently active first.
        self._unread: dict[Connection, None] = {}
        self._resting: dict[Connection, None] = {}
        self._receiving: dict[Connection, None] = {}

    def reserve(self, size: int, held: int, conn: Connection) -> bool:
        """Reserve memory for a connection, in place of others if necessary.

        Parameters
        ----------
        size, held
            Bytes that the connection needs, and those that it has.

        Returns
        -------
        bool
            Whether there was enough memory; if not, nothing was reserved.
        """
        is_large = held + size > LARGE_BYTES
        limit = (LARGE_SHARE if is_large else 1.0) * self.max_bytes
        while self.reserved + size > limit:
            if is_large or not self._evict(conn):
                self.refused += 1
                return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Release reserved memory."""
        self.reserved -= size

    def admit(self, conn: Connection) -> bool:
        """Reserve memory for a new connection, in place of another one if necessary.

        Returns
        -------
        bool
            False if all others are in use; then nothing was reserved.
        """
        while not self._has_place():
            if not self._evict(conn):
                self.refused += 1
                return False
        self.connections += 1
        self.reserved += CONNECTION_BYTES
        self.on_activity(conn)
        return True

    def on_activity(self, conn: Connection) -> None:
        """Record that an admitted connection was active, or came into use or out of use."""
        self._forget(conn)
        if conn.is_in_use:
            return
        if conn.is_unread:
            self._unread[conn] = None
        else:
            (self._receiving if conn.is_receiving else self._resting)[conn] = None

    def _forget(self, conn: Connection) -> None:
        for group in self._unused():
            group.pop(conn, None)

    def _unused(self) -> tuple[dict[Connection, None], ...]:
        """Return the connections that are not in use, in the order in which they are closed."""
        return self._unread, self._resting, self._receiving

    def _evict(self, beneficiary: Connection) -> bool:
        """Close a connection that is not in use; return False if there is none."""
        for group in self._unused():
            for conn in group:
                if conn is not beneficiary:
                    self.evicted += 1
                    conn.close_unused()
                    return True
        return False

    def _has_place(self) -> bool:
        return (
            self.connections < self.max_connections
            and self.reserved + CONNECTION_BYTES <= self.max_bytes
        )

    def leave(self, conn: Connection) -> None:
        """Release the memory of a connection that was admitted."""
        self._forget(conn)
        self.connections -= 1
        self.reserved -= CONNECTION_BYTES

    def describe(self) -> dict[str, int]:
        """Return the use of the memory, for operators."""
        return {
            "open": self.connections,
            "bytes": self.reserved,
            "max_bytes": self.max_bytes,
            "refused": self.refused,
            "evicted": self.evicted,
        }


def head_bytes(size: int, lines: int) -> int:
    """Return the memory that a request takes until it is answered, without its body.

    Parameters
    ----------
    size
        Size of its head in bytes.
    lines
        Number of its header lines.
    """
    return REQUEST_BYTES + 3 * size + lines * LINE_BYTES
