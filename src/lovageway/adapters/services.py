"""Client of plain services: JSON calls over urllib3."""

import urllib3
from urllib3.exceptions import HTTPError

from lovageway.adapters.engines import CONNECT_TIMEOUT_S, BackendError

MAX_ANSWER_BYTES = 1 << 20


class PlainAnswer:
    """Answer of a plain service and the start id of the server that gave it."""

    def __init__(self, body: bytes, start_id: str) -> None:
        self.body = body
        self.start_id = start_id


class PlainServiceClient:
    """Blocking client of all plain services."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=32, retries=False)

    def call(
        self, address: str, method: str, body: bytes, request_id: str, key: str, timeout_s: float
    ) -> PlainAnswer:
        """Call a method.

        Raises
        ------
        BackendError
            "connect" if the call did not run; otherwise it may have run. No status of a plain
            service states that a call did not run.
        """
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        if key:
            headers["Idempotency-Key"] = key
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)
        try:
            resp = self._pool.request(
                "POST",
                f"http://{address}/call/{method}",
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
            data = resp.read(MAX_ANSWER_BYTES + 1)
            resp.release_conn()
        except (
            urllib3.exceptions.ConnectTimeoutError,
            urllib3.exceptions.NewConnectionError,
        ) as exc:
            raise BackendError("connect", str(exc)) from exc
        except (HTTPError, OSError) as exc:
            raise BackendError("lost", str(exc)) from exc
        start_id = resp.headers.get("X-Start-Id", "")
        if resp.headers.get("X-Request-Id") != request_id:
            raise BackendError("lost", "response to another request", start_id)
        if resp.status in (429, 503):
            raise BackendError("overloaded", f"HTTP {resp.status}", start_id)
        if resp.status != 200 or len(data) > MAX_ANSWER_BYTES:
            raise BackendError("error", f"HTTP {resp.status}, {len(data)} bytes", start_id)
        return PlainAnswer(data, start_id)
