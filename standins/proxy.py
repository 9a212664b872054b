"""TCP proxy that injects faults between two processes on loopback."""

import contextlib
import socket
import threading
import time

import msgpack

CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to `target`; `set_mode` may be called at any time.

    Modes:

    - "pass" forwards everything
    - "cut" closes every connection, and new ones as soon as they are accepted
    - "freeze" holds all data until the mode changes
    - "lose_answers" forwards requests, and closes the connection at the first byte of a response

    `delay_s` delays every chunk. `hold` holds a single request that contains given bytes, or its
    response, until `release`.
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.delay_s = 0.0
        self.changed = threading.Condition()
        self.open = set()
        self.frozen = set()  # sockets whose data is held until `release`
        self.marker = b""  # bytes of the request to hold
        self.hold_answer = False
        self.held = threading.Event()  # set when the request with the marker has arrived
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
        """Change the mode of every connection."""
        with self.changed:
            self.mode = mode
            if mode == "cut":
                for conn in self.open:
                    with contextlib.suppress(OSError):
                        conn.shutdown(socket.SHUT_RDWR)
            self.changed.notify_all()

    def freeze_connections(self):
        """Hold all data of the open connections; data of new ones passes."""
        with self.changed:
            self.frozen |= self.open

    def hold(self, marker, answer):
        """Hold the next request that contains `marker`, or with `answer` only its response."""
        with self.changed:
            self.held.clear()
            self.marker, self.hold_answer = marker, answer

    def release(self):
        """Forward all data that was held by `hold` and `freeze_connections`."""
        with self.changed:
            self.marker = b""
            self.frozen.clear()
            self.changed.notify_all()

    def drop_connections(self):
        """Close the open connections; new ones pass."""
        self.set_mode("cut")
        self.set_mode("pass")

    def _is_held(self, source):
        return self.mode == "freeze" or (source in self.frozen and self.mode != "cut")

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client):
        with client:
            if self.mode == "cut" or not self._accepts_client(client):
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

    def _accepts_client(self, _client):
        return True

    def _pump(self, source, sink, answers):
        """Forward the data of one direction; `answers` is true for that from the target."""
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                with self.changed:
                    if not answers and self.marker and self.marker in data:
                        self.marker = b""
                        self.frozen.add(sink if self.hold_answer else source)
                        self.held.set()
                    self.changed.wait_for(lambda: not self._is_held(source))
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
    """A proxy in front of a daemon's peer listener that can block given daemons."""

    def __init__(self, target):
        self.blocked = frozenset()
        self.dialers = {}  # connection -> VM id of the daemon that opened it
        super().__init__(target)

    def block(self, vm_ids):
        """Close the connections of these daemons and reject new ones; all others pass."""
        with self.changed:
            self.blocked = frozenset(vm_ids)
            self.dialers = {conn: vm for conn, vm in self.dialers.items() if conn.fileno() >= 0}
            for conn, vm_id in self.dialers.items():
                if vm_id in self.blocked:
                    with contextlib.suppress(OSError):
                        conn.shutdown(socket.SHUT_RDWR)

    def _accepts_client(self, client):
        # The first frame is a length in 4 bytes and a msgpack map with the node of the sender.
        with contextlib.suppress(OSError, ValueError, KeyError):
            client.settimeout(5)
            head = client.recv(4, socket.MSG_PEEK | socket.MSG_WAITALL)
            size = 4 + int.from_bytes(head, "big")
            frame = client.recv(size, socket.MSG_PEEK | socket.MSG_WAITALL)
            client.settimeout(None)
            vm_id = msgpack.unpackb(frame[4:])["node"].partition("/")[0]
            with self.changed:
                self.dialers[client] = vm_id
                return vm_id not in self.blocked
        return False
