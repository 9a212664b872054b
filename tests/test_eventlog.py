"""Log lines, their rate limit and a blocked or closed output."""

import contextlib
import io
import json
import os
import threading
import unittest
from unittest import mock

from lovageway.forwarding import eventlog
from lovageway.forwarding.eventlog import BURST, MAX_QUEUED_LINES, MAX_VALUE_CHARS, EventLog


class Lines(unittest.TestCase):
    def test_a_line_is_one_json_object_with_all_fields(self):
        log, out = EventLog(daemon="d1"), io.StringIO()
        with contextlib.redirect_stdout(out):
            log("move", id="7", status=200)
            log.flush()
            self.wait(lambda: out.getvalue())
        line = json.loads(out.getvalue())
        self.assertEqual((line["event"], line["daemon"], line["status"]), ("move", "d1", 200))

    def test_a_text_of_a_client_is_clipped(self):
        # Guards against lines of 16 KB, of which thousands wait while the output is not read.
        log = EventLog()
        log("request", id="i" * 16384, servers=["s"])
        line = json.loads(log._writer._lines[-1])
        self.assertEqual(line["id"], "i" * MAX_VALUE_CHARS)
        self.assertEqual(line["servers"], ["s"])

    def test_the_rate_of_lines_is_limited_and_dropped_lines_are_reported(self):
        # Guards against logging that costs more than the requests under load.
        with mock.patch.object(eventlog.time, "monotonic", return_value=100.0) as clock:
            log = EventLog()
            for _ in range(int(BURST) + 50):
                log("request")
            self.assertEqual(log.left_out_total, 50)
            clock.return_value = 101.0
            log("request")
        self.assertEqual(json.loads(log._writer._lines[-1])["lines_left_out"], 50)

    def test_a_reader_that_does_not_read_does_not_block_the_caller(self):
        # Guards against a daemon that blocks because its output is not read.
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        stopped = os.fdopen(writing, "w")
        with contextlib.redirect_stdout(stopped), mock.patch.object(eventlog, "BURST", 1e9):
            log = EventLog()
            done = threading.Event()

            def flood():
                for _ in range(3 * MAX_QUEUED_LINES):
                    log("request", text="x" * 200)
                    log.flush()
                done.set()

            threading.Thread(target=flood, daemon=True).start()
            self.assertTrue(done.wait(30))
        self.assertLessEqual(len(log._writer._lines), MAX_QUEUED_LINES)
        log._writer._lines.clear()
        self.assertGreater(log._writer.dropped + log._left_out, 0)

    def test_a_closed_output_does_not_end_the_log(self):
        # Guards against a writer thread that ends on a closed pipe, so that later lines are lost.
        class Gone(io.StringIO):
            def write(self, text):
                raise BrokenPipeError

        log = EventLog()
        with contextlib.redirect_stdout(Gone()):
            log("one")
            log.flush()
            self.wait(lambda: log._writer.dropped == 1)
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            log("two")
            log.flush()
            self.wait(lambda: out.getvalue())
        self.assertEqual(json.loads(out.getvalue())["lines_left_out"], 1)

    def wait(self, condition):
        deadline = threading.Event()
        for _ in range(1000):
            if condition():
                return
            deadline.wait(0.01)
        self.fail("the line was not written")
