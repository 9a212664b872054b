"""Operators' interface: HTTP by cheroot on a listener and with keys of its own."""

import hmac
import json
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest

from lovageway.node import Node
from lovageway.runtime import Runtime


class Operators:
    """WSGI application of the operators' listener.

    Parameters
    ----------
    runtime
        The daemon.
    keys
        Keys that operators may use.
    registry
        Metrics to publish.
    """

    def __init__(
        self, runtime: Runtime, keys: Sequence[bytes], registry: CollectorRegistry
    ) -> None:
        self._runtime = runtime
        self._keys = tuple(keys)
        self._registry = registry

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one HTTP request."""
        if not self._allowed(environ.get("HTTP_AUTHORIZATION", "")):
            return _answer(start_response, "401 Unauthorized", {"error": "operator key required"})
        parts = environ["PATH_INFO"].strip("/").split("/")
        match environ["REQUEST_METHOD"], parts:
            case "GET", ["metrics"]:
                start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
                return [generate_latest(self._registry)]
            case "GET", ["admin", "dump"]:
                return _answer(start_response, "200 OK", self._runtime.read(Node.dump))
            case "GET", ["admin", "explain", request_id]:
                steps = self._runtime.read(lambda node, now: node.explain(request_id))
                return _answer(start_response, "200 OK", steps)
        return _answer(start_response, "404 Not Found", {"error": "no such page"})

    def _allowed(self, header: str) -> bool:
        key = header.removeprefix("Bearer ").encode()
        return any(hmac.compare_digest(key, known) for known in self._keys)


def _answer(start_response: Callable[..., Any], status: str, value: object) -> list[bytes]:
    body = json.dumps(value, default=str).encode()
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    )
    return [body]
