"""Client of streamed completions."""

import json

from standins.fleet import http

KEY = {"Authorization": "Bearer clerks-key"}


class Stream:
    """A streamed completion: its text so far, resume token, last event id and error."""

    def __init__(self, address, path, body, headers=()):
        url = f"http://{address}{path}"
        headers = {**KEY, **dict(headers)}
        self.resp = http.request("POST", url, json=body, headers=headers, preload_content=False)
        self.text, self.error, self.token, self.last_id = "", None, None, None
        self.done = False
        self.lines = iter(self.resp)

    def resume(self, address):
        """Resume this stream through a daemon and return the new stream."""
        headers = {"Last-Event-ID": self.last_id}
        return Stream(address, "/v1/streams/resume", {"resume_token": self.token}, headers)

    def read(self, tokens=None):
        """Read until the end, or until `tokens` tokens have arrived."""
        for line in self.lines:
            if line.startswith(b"id: "):
                self.last_id = line[4:].decode().strip()
            elif line.startswith(b"data: [DONE]"):
                self.done = True
            elif line.startswith(b"data: "):
                self._event(json.loads(line[6:]))
            if tokens is not None and len(self.words()) >= tokens:
                break
        return self

    def _event(self, event):
        self.error = event.get("error", self.error)
        self.token = event.get("resume_token", self.token)
        if "choices" in event:
            self.text += event["choices"][0]["text"]

    def words(self):
        return self.text.split()

    def offsets(self):
        return [int(word.rpartition(":")[2]) for word in self.words()]

    def generations(self):
        return {word.rpartition(":")[0] for word in self.words()}
