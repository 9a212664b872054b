"""HTTP interface for operators, on a separate listener with its own keys."""

import asyncio
import hmac
import json
import queue
import secrets
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from urllib.parse import parse_qs

import msgspec
from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest

from lovageway import report
from lovageway.adapters._listener import BadRequestError, read_body
from lovageway.codes import INFO, Code, Refusal
from lovageway.events import ApplyDone, ApplyRequested
from lovageway.memorybudget import MemoryBudget, MemoryReservation
from lovageway.model import Change
from lovageway.node import Node
from lovageway.runtime import Runtime

THREADS = 8  # a change waits for its outcome in one of them
APPLY_WAIT_S = 15.0  # longer than the deadline after which the controller reports an outcome


class _ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    key: str
    value: dict[str, Any] | None


class _ApplyBody(msgspec.Struct, forbid_unknown_fields=True):
    op_id: str
    changes: list[_ChangeBody]
    base_version: int | None = None


class OperatorApp:
    """Serves the requests of the operators' listener.

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
    memory
        Budget for the bodies of requests.
    """

    def __init__(
        self,
        runtime: Runtime,
        keys: Sequence[bytes],
        registry: CollectorRegistry,
        traffic: Callable[[], dict[str, int]],
        memory: MemoryBudget,
    ) -> None:
        self._runtime = runtime
        self._keys = tuple(keys)
        self._registry = registry
        self._traffic = traffic
        self._memory = memory
        self._pool = ThreadPoolExecutor(THREADS, thread_name_prefix="operator")

    def close(self) -> None:
        """End the threads."""
        self._pool.shutdown(wait=False)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request; the body of one without a key is not read."""
        memory = MemoryReservation(self._memory)
        try:
            if not self._is_authorized(request.headers.get("Authorization", "")):
                raise BadRequestError(Refusal(Code.OPERATOR_KEY))
            body = await read_body(request, memory) if request.method == "POST" else b""
            loop = asyncio.get_running_loop()
            return await loop.run_in_executor(self._pool, self._answer, request, body)
        except BadRequestError as exc:
            return _json_response(exc.refusal.to_json(), INFO[exc.refusal.code].status)
        finally:
            memory.release()

    def _answer(self, request: web.BaseRequest, body: bytes) -> web.Response:
        if request.path == "/metrics" and request.method == "GET":
            headers = {"Content-Type": "text/plain; version=0.0.4"}
            return web.Response(body=generate_latest(self._registry), headers=headers)
        return _json_response(self._dispatch(request, body), 200)

    def _dispatch(self, request: web.BaseRequest, body: bytes) -> object:
        method, path = request.method, request.path
        match method, path.strip("/").split("/"):
            case "GET", ["admin", "status"]:
                return {**self._runtime.read(report.status), "peer_traffic": self._traffic()}
            case "GET", ["admin", "config"]:
                return self._runtime.read(report.rows)
            case "GET", ["admin", "config", "spread"]:
                return self._spread(request.query_string)
            case "POST", ["admin", "config", "apply"]:
                return self._apply(body)
            case "GET", ["admin", "dump"]:
                return self._runtime.read(Node.dump)
            case "GET", ["admin", "explain", request_id]:
                return self._runtime.read(lambda node, now: node.explain(request_id))
            case "GET", ["admin", "accounts", name]:
                found = self._runtime.read(lambda node, now: report.account(node, name, now))
                if found is not None:
                    return found
                raise BadRequestError(Refusal(Code.NOT_FOUND, f"Account: {name[:80]!r}."))
        raise BadRequestError(Refusal(Code.NOT_FOUND, f"{method[:16]} {path[:80]}."))

    def _is_authorized(self, header: str) -> bool:
        key = header.removeprefix("Bearer ").encode(errors="replace")
        return any(hmac.compare_digest(key, known) for known in self._keys)

    def _spread(self, query: str) -> object:
        text = parse_qs(query).get("version", [""])[-1]
        if not (text.isascii() and text.isdigit() and len(text) <= 15):
            raise BadRequestError(Refusal(Code.MALFORMED, "version must be a whole number."))
        version = int(text)
        return self._runtime.read(lambda node, now: node.configuration.spread(version, now))

    def _apply(self, body: bytes) -> object:
        order = _read_apply(body)
        changes = tuple(Change(item.key, item.value) for item in order.changes)
        # The name of the mailbox is unique for each request and not the operation's id, because a
        # retry of the same operation may be waiting on another thread.
        reply_to = f"apply-{secrets.token_hex(8)}"
        mailbox = self._runtime.open(reply_to)
        try:
            self._runtime.submit(ApplyRequested(order.op_id, changes, order.base_version, reply_to))
            done = mailbox.get(timeout=APPLY_WAIT_S)
        except queue.Empty:
            refusal = Refusal(Code.NOT_ACCEPTED, "No outcome in time.", ran="unknown")
            raise BadRequestError(refusal) from None
        finally:
            self._runtime.close(reply_to)
        assert isinstance(done, ApplyDone)
        if done.refusal is not None:
            raise BadRequestError(done.refusal)
        return {"op_id": done.op_id, "version": done.version}


def _read_apply(data: bytes) -> _ApplyBody:
    try:
        value = json.loads(
            data, parse_constant=_reject_constant, object_pairs_hook=_reject_duplicates
        )
        return msgspec.convert(value, _ApplyBody)
    except (ValueError, RecursionError) as exc:  # UnicodeDecodeError and msgspec's are ValueErrors
        raise BadRequestError(Refusal(Code.MALFORMED, f"{str(exc)[:300]}.")) from exc


def _reject_constant(name: str) -> object:
    raise ValueError(f"{name} is not JSON")


def _reject_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("an object names a field twice")
    return found


def _json_response(value: object, status: int) -> web.Response:
    body = json.dumps(value, default=str).encode()
    return web.Response(status=status, body=body, content_type="application/json")
