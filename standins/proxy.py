"""A small TCP proxy that injects faults between two processes on loopback."""

import contextlib
import socket
import threading
import time

import msgpack

CHUNK = 65536


class Proxy:
    """Forwards connections to `target`; `mode` may change at any moment.

    Modes: "pass"; "cut" closes every connection and refuses new ones; "freeze" holds every byte
    until the mode changes; "lose_answers" forwards what the client sends, waits for the first byte
    of the answer and closes the connection in its place. `delay_s` delays every chunk. `hold` stops
    the one request that contains some bytes, or its answer, until `release`.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.delay_s = 0.0
        self.changed = threading.Condition()
        self.open = set()
        self.frozen = set()
        self.marker = b""
        self.hold_answer = False
        self.held = threading.Event()
        self.bytes_to_target = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.listener.close()
        self.set_mode("cut")

    def set_mode(self, mode):
        """Change the mode for every connection at once."""
        with self.changed:
            self.mode = mode
            if mode == "cut":
                for conn in self.open:
                    with contextlib.suppress(OSError):
                        conn.shutdown(socket.SHUT_RDWR)
            self.changed.notify_all()

    def freeze_connections(self):
        """Hold every byte of the connections that are open; new ones pass."""
        with self.changed:
            self.frozen |= self.open

    def hold(self, marker, answer):
        """Hold the next request that contains `marker`, or its answer alone; others pass."""
        with self.changed:
            self.held.clear()
            self.marker, self.hold_answer = marker, answer

    def release(self):
        """Let what was held pass."""
        with self.changed:
            self.marker = b""
            self.frozen.clear()
            self.changed.notify_all()

    def drop_connections(self):
        """Close the connections that are open and let new ones pass."""
        self.set_mode("cut")
        self.set_mode("pass")

    def _holds(self, source):
        return self.mode == "freeze" or (source in self.frozen and self.mode != "cut")

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client):
        with client:
            if self.mode == "cut" or not self._passes(client):
                return
            try:
                server = socket.create_connection(self.target, timeout=5)
            except OSError:
                return
            server.settimeout(None)
            with server:
                with self.changed:
                    self.open |= {client, server}
                back = threading.Thread(target=self._pump, args=(server, client, True), daemon=True)
                back.start()
                self._pump(client, server, False)
                back.join()
                with self.changed:
                    self.open -= {client, server}

    def _passes(self, _client):
        return True

    def _pump(self, source, sink, answers):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK):
                with self.changed:
                    if not answers and self.marker and self.marker in data:
                        self.marker = b""
                        self.frozen.add(sink if self.hold_answer else source)
                        self.held.set()
                    self.changed.wait_for(lambda: not self._holds(source))
                if self.mode == "cut" or (answers and self.mode == "lose_answers"):
                    break
                if self.delay_s:
                    time.sleep(self.delay_s)
                if not answers:
                    self.bytes_to_target += len(data)
                sink.sendall(data)
        for conn in (source, sink):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


class PeerProxy(Proxy):
    """A proxy in front of a daemon's peer listener that can cut it from some daemons only."""

    def __init__(self, target):
        self.blocked = frozenset()
        self.dialled = {}  # connection -> VM id of the daemon that opened it
        super().__init__(target)

    def block(self, vm_ids):
        """Close the connections of these daemons and refuse new ones; all others pass."""
        with self.changed:
            self.blocked = frozenset(vm_ids)
            self.dialled = {conn: vm for conn, vm in self.dialled.items() if conn.fileno() >= 0}
            for conn, vm_id in self.dialled.items():
                if vm_id in self.blocked:
                    with contextlib.suppress(OSError):
                        conn.shutdown(socket.SHUT_RDWR)

    def _passes(self, client):
        # The first frame is its length in 4 bytes and a msgpack map that names the node.
        with contextlib.suppress(OSError, ValueError, KeyError):
            client.settimeout(5)
            head = client.recv(4, socket.MSG_PEEK | socket.MSG_WAITALL)
            size = 4 + int.from_bytes(head, "big")
            frame = client.recv(size, socket.MSG_PEEK | socket.MSG_WAITALL)
            client.settimeout(None)
            vm_id = msgpack.unpackb(frame[4:])["node"].partition("/")[0]
            with self.changed:
                self.dialled[client] = vm_id
                return vm_id not in self.blocked
        return False
