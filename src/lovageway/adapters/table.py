"""Client of the table service: JSON over HTTP, with transactions conditional on row revisions."""

import json
from collections.abc import Mapping
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from lovageway.events import ReadRows, Row, TableAnswered, Transact

TIMEOUT_S = 2.0


class TableClient:
    """Client of the table service.

    Parameters
    ----------
    url
        Base URL, for example ``http://10.0.0.5:7000``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        timeout = urllib3.Timeout(connect=TIMEOUT_S, read=TIMEOUT_S)
        self._pool = urllib3.PoolManager(maxsize=16, timeout=timeout, retries=False)

    def read(self, effect: ReadRows) -> TableAnswered:
        """Read rows by key and by prefix; the status is "down" if there was no valid answer."""
        body = {"keys": effect.keys, "prefix": effect.prefix}
        return self._post("read", effect.op_id, body, "down")

    def transact(self, effect: Transact) -> TableAnswered:
        """Write and delete rows if every condition holds.

        The status is "unknown" if the transaction was sent and there was no valid answer.
        """
        body = {
            "op_id": effect.op_id,
            "conditions": effect.conditions,
            "puts": effect.puts,
            "deletes": effect.deletes,
        }
        return self._post("transact", effect.op_id, body, "unknown")

    def _post(self, operation: str, op_id: str, body: object, on_no_answer: Any) -> TableAnswered:
        try:
            resp = self._pool.request("POST", f"{self._url}/v1/{operation}", body=json.dumps(body))
            if resp.status not in (200, 409):
                return TableAnswered(op_id, on_no_answer, {})
            rows = _decode_rows(json.loads(resp.data)["rows"])
        except NewConnectionError:
            return TableAnswered(op_id, "down", {})
        except (HTTPError, OSError, ValueError, KeyError, TypeError, AttributeError):
            return TableAnswered(op_id, on_no_answer, {})
        return TableAnswered(op_id, "ok" if resp.status == 200 else "conflict", rows)


def _decode_rows(found: Mapping[str, Mapping[str, Any]]) -> dict[str, Row]:
    return {key: Row(row["value"], row["revision"]) for key, row in found.items()}
