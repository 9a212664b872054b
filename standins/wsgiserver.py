"""WSGI server of the stand-in processes: passes each request to one handler function."""

import argparse
import json
import signal
import sys
from urllib.parse import parse_qs

from cheroot import wsgi


class Reply:
    """Status, headers and body of a response.

    The body is the JSON of `value`, or `body`: bytes, or an iterator of bytes for a stream.
    """

    def __init__(self, status, value=None, headers=(), body=None):
        self.status = status
        self.headers = list(headers)
        data = json.dumps(value).encode() if body is None else body
        self.body = [data] if isinstance(data, bytes) else data


class Application:
    """WSGI application that calls `handle(method, path_parts, query, body, environ)`."""

    def __init__(self, handle):
        self.handle = handle

    def __call__(self, environ, start_response):
        data = environ["wsgi.input"].read()
        query = {name: values[-1] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        parts = environ["PATH_INFO"].strip("/").split("/")
        reply = self.handle(environ["REQUEST_METHOD"], parts, query, data, environ)
        headers = [("Content-Type", "application/json"), *reply.headers]
        if isinstance(reply.body, list):
            headers.append(("Content-Length", str(sum(map(len, reply.body)))))
        start_response(f"{reply.status} -", headers)
        return reply.body


def serve(handle, listen, threads=100):
    """Serve until SIGTERM, after printing the address as one line of JSON."""
    host, _, port = listen.rpartition(":")
    server = wsgi.Server((host, int(port)), Application(handle), numthreads=threads, max=threads)
    server.shutdown_timeout = 0
    server.request_queue_size = 256
    server.prepare()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    print(json.dumps({"listen": f"{server.bind_addr[0]}:{server.bind_addr[1]}"}), flush=True)
    server.serve()


def parser():
    """Return an argument parser with the option `--listen`, common to all stand-ins."""
    options = argparse.ArgumentParser()
    options.add_argument("--listen", default="127.0.0.1:0")
    return options
