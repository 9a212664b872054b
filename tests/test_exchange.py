"""Streams under connection failures, suspended links and killed processes (real processes)."""

import json
import signal
import threading
import time
import unittest

from standins.fleet import Fleet, http, wait_for
from standins.proxy import Proxy
from standins.streams import KEY, Stream

from tests.builders import contract_row, jar_returns_rows

ZONE = "khangai"
AWAY_S = 0.3  # of the link


class Exchange(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet())
        self.engines = {}
        self.proxies = {}

    def start(self, engines=1, daemons=1, **contract):
        for number in range(engines):
            name = f"crock-{number}"
            engine = self.fleet.backend(name, "crock-llm", ZONE, "engine", "--step-ms", "10")
            proxy = self.enterContext(Proxy(engine.address))
            self.engines[name], self.proxies[name] = engine, proxy
            self.fleet.vms[name]["address"] = proxy.address
        for number in range(daemons):
            self.fleet.daemon(f"entry-{number}", ZONE)
        rows = jar_returns_rows()
        rows["contract/clerks"] = contract_row("clerks", **contract)
        self.fleet.begin(rows)
        for daemon in self.fleet.daemons.values():
            # A daemon that has just started refuses requests until it has its first shares.
            wait_for(lambda d=daemon: "choices" in post_completion(d.address, "len=1"), "service")
        return [process.address for process in self.fleet.daemons.values()]

    def ask(self, address, tokens, text="Route summary", stream=True):
        body = {"model": "crock-llm", "prompt": f"{text}, len={tokens}", "stream": stream}
        return Stream(address, "/v1/completions", body)

    def assert_complete(self, stream, tokens):
        self.assertIsNone(stream.error)
        self.assertEqual(stream.offsets(), list(range(tokens)))
        self.assertEqual(len(stream.generations()), 1)

    def running(self, name):
        return json.loads(http.request("GET", f"http://{self.engines[name].address}/load").data)

    def decoded(self, name):
        load = self.running(name)
        return load["memory_used"] if load["running"] else 0

    def test_a_stream_is_resumed_without_loss_or_repetition_after_a_connection_failure(self):
        # Guards against tokens that are lost or repeated when a stream is resumed.
        (address,) = self.start()
        stream = self.ask(address, 200)
        for part in (40, 80, 120):
            stream.read(part)
            self.proxies["crock-0"].drop_connections()
        self.assert_complete(stream.read(), 200)

    def test_a_stream_is_resumed_after_its_link_was_away_for_a_moment(self):
        # Guards against a stream that is given up within milliseconds, after as many connections as
        # it may try, while the link to its engine is away for a moment.
        (address,) = self.start()
        stream = self.ask(address, 200).read(40)
        self.proxies["crock-0"].set_mode("cut")
        time.sleep(AWAY_S)
        self.proxies["crock-0"].set_mode("pass")
        self.assert_complete(stream.read(), 200)

    def test_a_frozen_link_is_replaced_after_the_idle_timeout(self):
        # Guards against a stream that hangs while its connection is open but transfers nothing.
        (address,) = self.start()
        stream = self.ask(address, 300).read(20)
        self.proxies["crock-0"].freeze_connections()
        self.assert_complete(stream.read(), 300)

    def test_another_daemon_resumes_the_same_generation_after_a_daemon_was_killed(self):
        # Guards against a generation that is lost with the daemon that served it.
        first, second = self.start(daemons=2)
        stream = self.ask(first, 300).read(50)
        self.fleet.daemons["entry-0"].kill()
        again = stream.resume(second).read()
        self.assertIsNone(again.error)
        self.assertEqual(stream.offsets() + again.offsets(), list(range(300)))
        self.assertEqual(again.generations(), stream.generations())

    def test_a_stream_resumed_elsewhere_is_not_cancelled_by_the_first_daemon(self):
        # Guards against the first daemon cancelling a generation that another one now serves.
        first, second = self.start(daemons=2)
        stream = self.ask(first, 900).read(50)
        stream.resp.close()
        again = stream.resume(second).read()
        self.assertIsNone(again.error)
        self.assertEqual(stream.offsets() + again.offsets(), list(range(900)))

    def test_a_resume_token_of_another_account_or_an_altered_one_is_refused(self):
        # Guards against a caller that reads the answer to another account's request.
        (address,) = self.start()
        stream = self.ask(address, 100).read(5)
        headers = {"Authorization": "Bearer counter-key"}.items()
        other = Stream(address, "/v1/streams/resume", {"resume_token": stream.token}, headers)
        self.assertEqual(json.loads(other.resp.data)["error"]["code"], 4008)
        altered = Stream(address, "/v1/streams/resume", {"resume_token": stream.token[:-2] + "xx"})
        self.assertEqual(json.loads(altered.resp.data)["error"]["code"], 4008)

    def test_a_killed_engine_ends_a_started_stream_with_a_result_code(self):
        # Guards against an end that looks complete, and against tokens of a second generation in
        # the same stream.
        (address,) = self.start()
        stream = self.ask(address, 500).read(30)
        self.engines["crock-0"].kill()
        stream.read()
        self.assertIn(stream.error["code"], (4601, 4602))
        self.assertEqual(stream.error["ran"], "yes")
        self.assertFalse(stream.done)
        self.assertEqual(stream.offsets(), list(range(len(stream.offsets()))))
        self.assertEqual(len(stream.generations()), 1)

    def test_whole_delivery_retries_after_an_engine_was_killed(self):
        # Guards against reporting a failure to a caller that has not yet received any output.
        (address,) = self.start(engines=2, delivery="whole")
        streams = []
        reader = threading.Thread(target=lambda: streams.append(self.ask(address, 200).read()))
        reader.start()
        busy = wait_for(
            lambda: next((name for name in self.engines if self.decoded(name) >= 20), None),
            "a generation with some output",
        )
        self.engines[busy].kill()
        reader.join()
        self.assert_complete(streams[0], 200)

    def test_the_generation_of_a_disconnected_caller_is_cancelled(self):
        # Guards against abandoned generations that occupy the engine's memory.
        (address,) = self.start()
        stream = self.ask(address, 100000).read(20)
        stream.resp.close()
        wait_for(lambda: self.running("crock-0")["running"] == 0, "cancellation")
        dump = self.fleet.admin(self.fleet.daemons["entry-0"], "/admin/dump")
        self.assertEqual(dump["requests"]["open"], 0)

    def test_a_resumed_generation_is_cancelled_when_its_caller_disconnects_again(self):
        # Guards against a generation that no daemon cancels after the first one handed it over.
        first, second = self.start(daemons=2)
        stream = self.ask(first, 100000).read(20)
        stream.resp.close()
        again = stream.resume(second).read(40)
        again.resp.close()
        wait_for(lambda: self.running("crock-0")["running"] == 0, "cancellation")

    def test_each_caller_gets_its_own_answer_after_an_engine_was_suspended(self):
        # Guards against answers that reach the wrong caller when many arrive late and at once.
        (address,) = self.start()
        streams = [self.ask(address, 40, f"Report {number}").read(2) for number in range(8)]
        self.engines["crock-0"].signal(signal.SIGSTOP)
        thawed = threading.Timer(3.0, self.engines["crock-0"].signal, [signal.SIGCONT])
        thawed.start()
        self.addCleanup(thawed.join)
        names = set()
        for stream in streams:
            self.assert_complete(stream.read(), 40)
            names |= stream.generations()
        self.assertEqual(len(names), 8)

    def test_a_stream_whose_connection_is_cut_is_sent_to_another_engine(self):
        # Guards against refusing a request while other servers have free capacity.
        (address,) = self.start(engines=2)
        self.proxies["crock-0"].set_mode("cut")
        for _ in range(4):
            self.assert_complete(self.ask(address, 20).read(), 20)

    def test_an_answer_in_one_body_is_complete(self):
        # Guards against a body with missing tokens when the caller does not stream.
        (address,) = self.start()
        answer = post_completion(address, "Dispute, len=30")
        self.assertEqual(len(answer["choices"][0]["text"].split()), 30)
        self.assertEqual(answer["usage"]["completion_tokens"], 30)


def post_completion(address, prompt):
    body = {"model": "crock-llm", "prompt": prompt}
    resp = http.request("POST", f"http://{address}/v1/completions", json=body, headers=KEY)
    return json.loads(resp.data)
