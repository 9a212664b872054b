"""Reading load reports over keep-alive connections."""

import threading
import unittest
from contextlib import closing
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from lovageway.adapters.loads import LoadReader

GOOD = b'{"start_id": "a", "running": 1, "waiting": 0, "memory_used": 5, "memory_capacity": 9}'


class Reports(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = 5

    def do_GET(self):
        status, body, close = self.server.answer
        self.server.ports.add(self.client_address[1])
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.close_connection = close

    def log_message(self, *args):
        pass


class Reading(unittest.TestCase):
    def setUp(self):
        self.reader = LoadReader()
        self.server = self.enterContext(closing(ThreadingHTTPServer(("127.0.0.1", 0), Reports)))
        self.server.close = self.server.server_close
        self.server.daemon_threads = True
        self.server.handle_error = (
            lambda *_: None
        )  # the client closes the connection during bad responses
        self.server.answer, self.server.ports = (200, GOOD, False), set()
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.addCleanup(self.server.shutdown)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def test_reports_are_read_over_one_connection(self):
        # Guards against a new connection for each report, of which a daemon reads 26 a second.
        for _ in range(5):
            self.assertEqual(self.reader.read(self.address).memory_used, 5)
        self.assertEqual(len(self.server.ports), 1)

    def test_a_connection_that_the_server_closed_is_replaced_at_once(self):
        # Guards against a server that is taken for unreachable because it closes idle connections.
        self.server.answer = (200, GOOD, True)
        for _ in range(5):
            self.assertIsNotNone(self.reader.read(self.address))
        self.assertEqual(len(self.server.ports), 5)

    def test_answers_that_are_no_report_are_none_and_the_next_one_counts(self):
        # Guards against an exception in the reading thread, and against a connection whose next
        # read returns the rest of an earlier response.
        bad = ((500, GOOD), (200, b"{"), (200, b"[]"), (200, b'{"surplus": 1}'), (200, b"\xff"))
        for status, body in (*bad, (200, b" " * (1 << 17) + GOOD)):
            with self.subTest(status=status, body=body[:20]):
                self.server.answer = (status, body, False)
                self.assertIsNone(self.reader.read(self.address))
                self.server.answer = (200, GOOD, False)
                self.assertEqual(self.reader.read(self.address).running, 1)

    def test_an_address_where_nothing_listens_is_none(self):
        # Guards against an exception when a server has been removed.
        for address in ("127.0.0.1:1", "nowhere", "127.0.0.1:x"):
            self.assertIsNone(self.reader.read(address), address)
