"""Stand-in for the platform's store: rows, transactions and a long poll for changes."""

import asyncio
import base64
import json
import time

from standins.rawhttp import Listener, answer


class Store(Listener):
    """Store that keeps its rows in memory.

    `mode` is "ok", "busy" (503), "many" (429), "reset" (connections are reset) or "silent"
    (requests are never answered). `rejected_hosts` holds addresses of clients that are answered
    503 in mode "ok". With `lose_answers`, a write is applied and its connection is reset instead
    of a response.
    """

    def __init__(self, host="127.0.0.1"):
        super().__init__(host)
        self.rows = {}
        self.version = 0
        self.compacted_version = 0
        self.era = 1  # rises with each return from a copy
        self.mode = "ok"
        self.rejected_hosts = set()
        self.lose_answers = False
        self.request_paths = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row as the operator or a backend server would; None deletes it."""
        self.version += 1
        text = value if isinstance(value, str | bytes) or value is None else json.dumps(value)
        data = text.encode() if isinstance(text, str) else text
        self.rows[(table, key)] = (self.version, data)
        self._changed.set()
        self._changed = asyncio.Event()

    def now_ms(self):
        """Return the time of the store's steady clock."""
        return round(1000 * time.monotonic())

    def copy(self):
        """Return a copy of all rows, to which `restore` returns."""
        return dict(self.rows), self.version

    def restore(self, copied):
        """Return to a copy: what was written since is lost, and its versions are given out again.

        A poll after a version that the copy does not have is answered 410.
        """
        rows, self.version = copied
        self.rows = dict(rows)
        self.compacted_version = min(self.compacted_version, self.version)
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def compact(self):
        """Discard the history of changes: polls after an earlier version are answered 410."""
        self.compacted_version = self.version

    async def serve_request(self, request, writer):
        self.request_paths.append(request.path)
        peer = writer.get_extra_info("peername")[0]
        if self.mode == "silent":
            await asyncio.Event().wait()
        if self.mode == "reset":
            writer.transport.abort()
            return False
        if self.mode in ("busy", "many") or peer in self.rejected_hosts:
            writer.write(answer(429 if self.mode == "many" else 503, b"{}", self._headers()))
            return True
        if request.path == "/rows-tx":
            status, fields = self._transact(json.loads(request.body))
            if self.lose_answers:
                writer.transport.abort()
                return False
        elif request.path == "/rows-get":
            status, fields = self._get(request)
        else:
            status, fields = await self._watch(request)
        writer.write(answer(status, json.dumps(fields).encode(), self._headers()))
        return True

    def _headers(self):
        return [("Store-Era", str(self.era))]

    def _transact(self, fields):
        for row in fields["expected_revision"]:
            stored = self.rows.get((row["table"], row["key"]), (0, None))
            current = stored[0] if stored[1] is not None else 0
            if current != row["row_version"]:
                return 412, {"rows": []}
        for row in fields["write"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in fields["remove"]:
            self.put(row["table"], row["key"], None)
        return 200, {"row_version": self.version, "now_ms": self.now_ms()}

    def _row(self, table, key, version, value):
        row = {"table": table, "part": "", "key": key, "row_version": version}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _changes(self, table, after):
        """Return the rows of a table that changed after a version, in the order of versions."""
        found = [
            self._row(t, k, v, value)
            for (t, k), (v, value) in self.rows.items()
            if t == table and v > after
        ]
        return sorted(found, key=lambda row: row["row_version"])

    def _get(self, request):
        rows = [row for row in self._changes(request.field("table"), 0) if "value" in row]
        rows.sort(key=lambda row: row["key"])
        return 200, {
            "rows": rows,
            "has_more": False,
            "row_version": self.version,
            "now_ms": self.now_ms(),
        }

    async def _watch(self, request):
        after = int(request.field("after_revision"))
        if after > self.version:
            return 410, {}
        try:
            async with asyncio.timeout(int(request.field("wait_ms")) / 1000):
                while not self._changes(request.field("table"), after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if not self.compacted_version <= after <= self.version:
            return 410, {}
        rows = self._changes(request.field("table"), after)
        return 200, {"rows": rows, "row_version": self.version, "now_ms": self.now_ms()}
