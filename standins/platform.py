"""Stand-in for the platform: table service, VM list and object store, with injectable faults.

``POST /control`` sets faults and the VM list. Its JSON fields, all of them optional:

- ``table``: state of the table service, ``"up"``, ``"down"`` or ``"slow"``
- ``lose``: number of coming transactions that are applied but answered with an error
- ``lose_of``: only transactions that write a key with this prefix count for ``lose``
- ``then``: state of the table service after the last of these transactions
- ``vms``: the VM list

The response holds counts of reads and writes and all rows of the table.
"""

import hashlib
import json
import threading
import time

from standins.wsgiserver import Reply, parser, serve

SLOW_S = 5.0  # delay of each read and transaction while the table service is "slow"
CONTROL_FIELDS = {  # field of POST /control -> attribute of `Platform`
    "table": "table_state",
    "lose": "answers_to_lose",
    "lose_of": "lost_key_prefix",
    "then": "state_after_losses",
    "vms": "vms",
}


class Platform:
    def __init__(self):
        self.lock = threading.Lock()
        self.rows = {}  # key -> (value, revision)
        self.revision = 0
        self.vms = []
        self.objects = {}
        self.table_state = "up"
        self.answers_to_lose = 0
        self.state_after_losses = None
        self.lost_key_prefix = ""
        self.reads = self.writes = 0

    def handle(self, method, parts, query, data, environ):
        match method, parts:
            case "POST", ["control"]:
                return self.control(json.loads(data))
            case "GET", ["v1", "vms"]:
                return self.list_vms(environ.get("HTTP_IF_NONE_MATCH"))
            case ("PUT" | "GET"), ["v1", "objects", *name]:
                return self.object(method, "/".join(name), data)
            case "POST", ["v1", ("read" | "transact") as verb]:
                if self.table_state == "down":
                    return Reply(500, {"error": "table service is down"})
                if self.table_state == "slow":
                    time.sleep(SLOW_S)
                return getattr(self, verb)(json.loads(data))
        return Reply(404, {"error": "no such page"})

    def control(self, wanted):
        with self.lock:
            for name, attribute in CONTROL_FIELDS.items():
                if name in wanted:
                    setattr(self, attribute, wanted[name])
            state = {"reads": self.reads, "writes": self.writes, "lose": self.answers_to_lose}
            rows = {key: value for key, (value, _) in self.rows.items()}
        return Reply(200, {**state, "rows": rows})

    def list_vms(self, etag):
        body = json.dumps({"vms": self.vms}).encode()
        tag = hashlib.sha256(body).hexdigest()
        if etag == tag:
            return Reply(304, body=b"")
        return Reply(200, body=body, headers=[("ETag", tag)])

    def object(self, method, name, data):
        if method == "PUT":
            self.objects[name] = data
        found = self.objects.get(name)
        return Reply(404, {}) if found is None else Reply(200, body=found)

    def read(self, body):
        with self.lock:
            self.reads += 1
            wanted = set(body["keys"])
            if body["prefix"]:
                wanted |= {key for key in self.rows if key.startswith(body["prefix"])}
            return Reply(200, {"rows": self.rows_of(wanted)})

    def transact(self, body):
        with self.lock:
            self.writes += 1
            conflicts = [key for key, rev in body["conditions"] if self.revision_of(key) != rev]
            if conflicts:
                return Reply(409, {"rows": self.rows_of(conflicts)})
            self.revision += 1
            for key, value in body["puts"]:
                self.rows[key] = (value, self.revision)
            for key in body["deletes"]:
                self.rows.pop(key, None)
            puts = [key for key, _ in body["puts"]]
            matches = not self.lost_key_prefix or any(
                key.startswith(self.lost_key_prefix) for key in puts
            )
            lost = self.answers_to_lose > 0 and matches
            self.answers_to_lose -= lost
            if lost and not self.answers_to_lose and self.state_after_losses:
                self.table_state, self.state_after_losses = self.state_after_losses, None
            rows = self.rows_of([key for key, _ in body["puts"]])
        return Reply(500, {"error": "answer lost"}) if lost else Reply(200, {"rows": rows})

    def revision_of(self, key):
        return self.rows[key][1] if key in self.rows else 0

    def rows_of(self, keys):
        """Return those of the keys that exist, with value and revision."""
        return {
            key: {"value": self.rows[key][0], "revision": self.rows[key][1]}
            for key in keys
            if key in self.rows
        }


if __name__ == "__main__":
    serve(Platform().handle, parser().parse_args().listen)
