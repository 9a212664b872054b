"""Stand-in for a plain service; its ledger lists every call that it executed."""

import json
import secrets
import threading
import time

from standins.wsgiserver import Reply, parser, serve


class PlainService:
    def __init__(self):
        self.start_id = secrets.token_hex(4)
        self.ledger = []
        self.lock = threading.Lock()
        self.running = 0
        self.delay_s = 0.0
        self.status = 200  # of the answers to calls, all of which run

    def handle(self, method, parts, query, data, environ):
        headers = [("X-Start-Id", self.start_id)]
        match method, parts:
            case "GET", ["load"]:
                return Reply(200, self.load(), headers)
            case "GET", ["ledger"]:
                return Reply(200, {"effects": self.ledger}, headers)
            case "POST", ["control"]:
                wanted = json.loads(data)
                self.delay_s = wanted.get("delay_s", self.delay_s)
                self.status = wanted.get("status", self.status)
                return Reply(200, {}, headers)
            case "POST", ["call", name]:
                return self.call(name, json.loads(data), headers, environ)
        return Reply(404, {}, headers)

    def load(self):
        return {
            "start_id": self.start_id,
            "running": self.running,
            "waiting": 0,
            "memory_used": 0,
            "memory_capacity": 0,
        }

    def call(self, name, body, headers, environ):
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        with self.lock:
            self.running += 1
            key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
            effect = {"method": name, "body": body, "request_id": request_id, "key": key}
            self.ledger.append(effect)
            number = len(self.ledger)
        time.sleep(self.delay_s)
        with self.lock:
            self.running -= 1
        answer = {"method": name, "body": body, "receipt": f"{self.start_id}-{number}"}
        return Reply(self.status, answer, [*headers, ("X-Request-Id", request_id)])


if __name__ == "__main__":
    serve(PlainService().handle, parser().parse_args().listen)
