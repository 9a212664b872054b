"""HTTP interface for operators, served by cheroot on a separate listener with its own keys."""

import hmac
import json
import queue
import secrets
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec
from prometheus_client import CollectorRegistry, generate_latest

from lovageway import report
from lovageway.codes import INFO, Code, Refusal
from lovageway.events import ApplyDone, ApplyRequested
from lovageway.model import Change
from lovageway.node import Node
from lovageway.runtime import Runtime

MAX_BODY_BYTES = 1 << 20
# `_http._Request` refuses longer bodies, also in JSON, but unread: closing the connection can then
# reset it before the operator has received the refusal. Of a shorter body that the application
# refuses, cheroot reads the rest before it responds, so the refusal arrives.
MAX_DRAIN_BYTES = 8 << 20
APPLY_WAIT_S = 15.0  # longer than the deadline after which the controller reports an outcome

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class RefusedError(Exception):
    """A request is refused.

    Parameters
    ----------
    refusal
        Refusal to send to the operator.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class _ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    value: dict[str, Any] | None


class _ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    op_id: str
    changes: list[_ChangeBody]
    base_version: int | None = None


class OperatorApp:
    """WSGI application of the operators' listener.

    Parameters
    ----------
    runtime
        Runtime of the daemon's node.
    keys
        Accepted operator keys.
    registry
        Metrics to publish.
    traffic
        Returns the numbers of bytes and messages sent to other daemons.
    """

    def __init__(
        self,
        runtime: Runtime,
        keys: Sequence[bytes],
        registry: CollectorRegistry,
        traffic: Callable[[], dict[str, int]] = dict,
    ) -> None:
        self._runtime = runtime
        self._keys = tuple(keys)
        self._registry = registry
        self._traffic = traffic

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one HTTP request."""
        try:
            if not self._is_authorized(environ.get("HTTP_AUTHORIZATION", "")):
                raise RefusedError(Refusal(Code.OPERATOR_KEY))
            if environ["PATH_INFO"] == "/metrics" and environ["REQUEST_METHOD"] == "GET":
                start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
                return [generate_latest(self._registry)]
            return _answer(start_response, 200, self._dispatch(environ))
        except RefusedError as exc:
            refusal = exc.refusal
            return _answer(start_response, INFO[refusal.code].status, refusal.to_json())

    def _dispatch(self, environ: Environ) -> object:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match method, path.strip("/").split("/"):
            case "GET", ["admin", "status"]:
                return {**self._runtime.read(report.status), "peer_traffic": self._traffic()}
            case "GET", ["admin", "config"]:
                return self._runtime.read(report.rows)
            case "GET", ["admin", "config", "spread"]:
                return self._spread(environ)
            case "POST", ["admin", "config", "apply"]:
                return self._apply(environ)
            case "GET", ["admin", "dump"]:
                return self._runtime.read(Node.dump)
            case "GET", ["admin", "explain", request_id]:
                return self._runtime.read(lambda node, now: node.explain(request_id))
            case "GET", ["admin", "accounts", name]:
                found = self._runtime.read(lambda node, now: report.account(node, name, now))
                if found is not None:
                    return found
                raise RefusedError(Refusal(Code.NOT_FOUND, f"Account: {name[:80]!r}."))
        raise RefusedError(Refusal(Code.NOT_FOUND, f"{method[:16]} {path[:80]}."))

    def _is_authorized(self, header: str) -> bool:
        key = header.removeprefix("Bearer ").encode(errors="replace")
        return any(hmac.compare_digest(key, known) for known in self._keys)

    def _spread(self, environ: Environ) -> object:
        text = parse_qs(environ.get("QUERY_STRING", "")).get("version", [""])[-1]
        if not (text.isascii() and text.isdigit() and len(text) <= 15):
            raise RefusedError(Refusal(Code.MALFORMED, "version must be a whole number."))
        version = int(text)
        return self._runtime.read(lambda node, now: node.configuration.spread(version, now))

    def _apply(self, environ: Environ) -> object:
        body = _read_apply(environ)
        changes = tuple(Change(item.key, item.value) for item in body.changes)
        # The name of the mailbox is unique for each request and not the operation's id, because a
        # retry of the same operation may be waiting on another thread.
        reply_to = f"apply-{secrets.token_hex(8)}"
        mailbox = self._runtime.open(reply_to)
        try:
            self._runtime.submit(ApplyRequested(body.op_id, changes, body.base_version, reply_to))
            done = mailbox.get(timeout=APPLY_WAIT_S)
        except queue.Empty:
            refusal = Refusal(Code.NOT_ACCEPTED, "No outcome in time.", ran="unknown")
            raise RefusedError(refusal) from None
        finally:
            self._runtime.close(reply_to)
        assert isinstance(done, ApplyDone)
        if done.refusal is not None:
            raise RefusedError(done.refusal)
        return {"op_id": done.op_id, "version": done.version}


def _read_apply(environ: Environ) -> _ApplyBody:
    data: bytes = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        raise RefusedError(Refusal(Code.TOO_LARGE, f"At most {MAX_BODY_BYTES} bytes."))
    try:
        value = json.loads(
            data, parse_constant=_reject_constant, object_pairs_hook=_reject_duplicates
        )
        return msgspec.convert(value, _ApplyBody)
    except (ValueError, RecursionError) as exc:  # UnicodeDecodeError and msgspec's are ValueErrors
        raise RefusedError(Refusal(Code.MALFORMED, f"{str(exc)[:300]}.")) from exc


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not JSON")


def _reject_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("an object names a field twice")
    return found


def _answer(start_response: StartResponse, status: int, value: object) -> list[bytes]:
    body = json.dumps(value, default=str).encode()
    start_response(
        f"{status} {HTTPStatus(status).phrase}",
        [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
    )
    return [body]
