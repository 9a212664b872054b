"""The callers' listener refuses bad input with numbered codes and keeps serving (real daemons)."""

import json
import socket
import unittest

import openai
from standins.fleet import Fleet, http

from tests.builders import jar_returns_rows

KEY = {"Authorization": "Bearer clerks-key"}
GOOD = {"model": "crock-llm", "prompt": "Route summary, len=12"}


class Callers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet())
        cls.fleet.backend("crock-0", "crock-llm", "khangai", "engine")
        cls.fleet.backend("counter-0", "counter-app", "khangai", "plain")
        cls.daemon = cls.fleet.daemon("entry-0", "khangai")
        cls.fleet.begin(jar_returns_rows())
        cls.url = f"http://{cls.daemon.address}"

    def post(self, path, headers=KEY, **options):
        return http.request("POST", self.url + path, headers=headers, **options)

    def assert_refused(self, resp, status, code):
        error = json.loads(resp.data)["error"]
        self.assertEqual((resp.status, error["code"], error["ran"]), (status, code, "no"))

    def assert_serves(self):
        self.assertEqual(self.post("/v1/completions", json=GOOD).status, 200)

    def send_raw(self, data):
        """Send bytes as they are and return the status and the error of the answer."""
        host, _, port = self.daemon.address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=30) as conn:
            conn.sendall(data)
            answer = b""
            while part := conn.recv(65536):
                answer += part
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)["error"]["code"]

    def test_bodies_that_cannot_be_used_are_refused_as_malformed(self):
        # Guards against an exception in the parser that closes the connection without an answer.
        bodies = [b"", b"{", b"[]", b"null", b"\xff\xfe", b"[" * 100000, b'{"model": "crock-llm"}']
        bodies += [json.dumps({**GOOD, "max_tokens": value}).encode() for value in (0, "x", True)]
        for body in bodies:
            with self.subTest(body=body[:40]):
                self.assert_refused(self.post("/v1/completions", body=body), 400, 4001)
        for messages in (None, [], ["x"], [{"role": "user"}], [{"content": 5}]):
            body = {"model": "crock-llm", "messages": messages}
            with self.subTest(messages=messages):
                self.assert_refused(self.post("/v1/chat/completions", json=body), 400, 4001)
        self.assert_serves()

    def test_unknown_keys_models_methods_and_pages_have_their_own_codes(self):
        # Guards against a general error code that does not show the caller what to change.
        bad = {"Authorization": "Bearer nobody"}
        self.assert_refused(self.post("/v1/completions", headers=bad, json=GOOD), 401, 4003)
        self.assert_refused(self.post("/v1/completions", headers={}, json=GOOD), 401, 4003)
        other = {**GOOD, "model": "no-such-model"}
        self.assert_refused(self.post("/v1/completions", json=other), 404, 4002)
        self.assert_refused(self.post("/v1/services/counter-app/steal", json={}), 404, 4005)
        self.assert_refused(self.post("/v1/nothing", json={}), 404, 4005)

    def test_a_body_over_the_limit_is_refused_before_it_is_read(self):
        # Guards against memory that a caller can fill with a large body.
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"
        self.assertEqual(self.send_raw(head), (413, 4004))
        self.assert_serves()

    def test_a_flood_of_headers_is_refused_with_a_number(self):
        # Guards against memory that a caller can fill with headers.
        flood = b"".join(b"X-%d: %s\r\n" % (number, b"y" * 100) for number in range(1000))
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + flood + b"\r\n"
        self.assertEqual(self.send_raw(head), (413, 4004))
        self.assert_serves()

    def test_requests_that_are_not_http_are_refused_with_a_number(self):
        # Guards against a listener that fails on a malformed request line.
        self.assertEqual(self.send_raw(b"nonsense\r\n\r\n"), (400, 4001))
        self.assert_serves()

    def test_bad_resume_tokens_and_offsets_are_refused(self):
        # Guards against an exception while a token from a caller is parsed.
        for token in ("", "x", "====", "A" * 5000, "\u00e9"):
            with self.subTest(token=token[:10]):
                resp = self.post("/v1/streams/resume", json={"resume_token": token})
                self.assert_refused(resp, 400, 4008)

    def test_refusals_are_counted_by_code(self):
        # Guards against refusals that no metric shows.
        self.post("/v1/nothing", json={})
        text = self.fleet.page(self.daemon, "/metrics")
        self.assertRegex(text, r'lovageway_refusals_total\{code="4005"\} [1-9]')

    def test_unknown_services_share_one_label(self):
        # Guards against memory that callers can fill with new values of metric labels.
        self.post("/v1/completions", json={**GOOD, "model": "no-such-model"})
        text = self.fleet.page(self.daemon, "/metrics")
        self.assertNotIn("no-such-model", text)
        self.assertIn('lovageway_requests_total{service="unknown"}', text)

    def test_operators_pages_need_an_operators_key(self):
        # Guards against callers who can read the operators' pages with their own key.
        url = f"http://{self.daemon.addresses['operator_listen']}/admin/dump"
        self.assertEqual(http.request("GET", url, headers=KEY).status, 401)

    def test_the_openai_client_library_needs_only_a_base_url(self):
        # Guards against a response format that the OpenAI client library cannot parse.
        client = openai.OpenAI(base_url=f"{self.url}/v1", api_key="clerks-key", max_retries=0)
        self.assertEqual([model.id for model in client.models.list()], ["crock-llm"])
        stream = client.completions.create(**GOOD, stream=True)
        self.assertEqual(len("".join(part.choices[0].text for part in stream).split()), 12)
        messages = [{"role": "user", "content": "Is gate 4 ready? len=3"}]
        chat = client.chat.completions.create(model="crock-llm", messages=messages, stream=True)
        text = "".join(part.choices[0].delta.content or "" for part in chat)
        self.assertEqual(len(text.split()), 3)
        whole = client.chat.completions.create(model="crock-llm", messages=messages)
        self.assertEqual(len(whole.choices[0].message.content.split()), 3)
        with self.assertRaises(openai.NotFoundError) as caught:
            client.completions.create(model="other", prompt="x")
        self.assertEqual(caught.exception.body["code"], 4002)
