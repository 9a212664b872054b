"""Client of the operators' interface: tries addresses in turn and repeats doubtful changes."""

import json
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from lovageway.settings import read_secret

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 20.0  # above the daemon's own deadline for a change
RETRY_S = 0.5

OK = 0
FAILED = 1
USAGE = 2
CONFLICT = 3
NOT_ACCEPTED = 4
UNKNOWN = 5
INVALID = 6
NO_ANSWER = 7
KEY_REFUSED = 8
NOT_EVERYWHERE = 9
NOT_FOUND = 10

_EXITS = {4901: CONFLICT, 4902: NOT_ACCEPTED, 4903: INVALID, 4904: KEY_REFUSED, 4905: NOT_FOUND}
_EXITS |= {4001: INVALID, 4004: INVALID}


class CommandError(Exception):
    """A command that fails; `exit_code` is stable.

    Parameters
    ----------
    exit_code
        One of the constants of this module.
    message
        For the operator.
    body
        Refusal as the daemon sent it, if it did.
    """

    def __init__(self, exit_code: int, message: str, body: dict[str, Any] | None = None) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.body = body or {"error": {"message": message}}


class _LostError(Exception):
    """No answer came; `sent` tells whether the daemon may have got the request."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class Client:
    """Talks to whichever of several daemons answers.

    Parameters
    ----------
    addresses
        Operators' listeners, "IP:PORT", in order of preference.
    key_file
        File with an operator key.
    timeout_s
        How long a doubtful change is repeated.
    """

    def __init__(self, addresses: Sequence[str], key_file: Path, timeout_s: float) -> None:
        try:
            key = read_secret(key_file).decode()
        except (OSError, ValueError) as exc:
            raise CommandError(USAGE, f"--key-file: {exc}") from exc
        self._addresses = list(addresses)
        self._headers = {"Authorization": f"Bearer {key}"}
        self._timeout_s = timeout_s
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = urllib3.PoolManager(timeout=timeout, retries=False)

    def get(self, path: str) -> Any:
        """Return a page of the first daemon that answers."""
        reasons = []
        for address in list(self._addresses):
            try:
                status, body = self._request("GET", address, path)
            except _LostError as exc:
                reasons.append(f"{address}: {exc}")
                self._prefer_others(address)
                continue
            if status == 200:
                return body
            raise _refused(body)
        raise CommandError(NO_ANSWER, "No daemon answered. " + "; ".join(reasons))

    def apply(self, changes: Sequence[dict[str, Any]], base_version: int | None) -> int:
        """Return the version of the accepted change.

        The operation id stays the same however often the change is sent, so it is applied once.
        """
        op_id = f"cli-{secrets.token_hex(8)}"
        request = {"op_id": op_id, "base_version": base_version, "changes": list(changes)}
        end = time.monotonic() + self._timeout_s
        doubtful, reason = False, ""
        while True:
            for address in list(self._addresses):
                try:
                    status, body = self._request("POST", address, "/admin/config/apply", request)
                except _LostError as exc:
                    doubtful, reason = doubtful or exc.sent, f"{address}: {exc}"
                    self._prefer_others(address)
                    continue
                if status == 200:
                    return int(body["version"])
                error = _refused(body)
                if error.exit_code != NOT_ACCEPTED:
                    # These refusals are given after the operation's row was looked up.
                    raise error
                doubtful = doubtful or body["error"]["ran"] != "no"
                reason = str(error)
            # Without doubt nothing took effect at any daemon, and the operator may decide.
            if not doubtful or time.monotonic() >= end:
                break
            time.sleep(RETRY_S)
        raise self._undecided(op_id, doubtful, reason)

    def _undecided(self, op_id: str, doubtful: bool, reason: str) -> CommandError:
        if doubtful:
            return CommandError(
                UNKNOWN,
                f"Operation {op_id} may or may not have been accepted: {reason} "
                "Look for it in `lovageway config show` before applying anew.",
            )
        if "4902" in reason:
            return CommandError(NOT_ACCEPTED, f"Nothing was applied. {reason}")
        return CommandError(NO_ANSWER, f"No daemon answered, nothing was applied. {reason}")

    def _prefer_others(self, address: str) -> None:
        """Move an address that does not answer to the end."""
        self._addresses.remove(address)
        self._addresses.append(address)

    def _request(
        self, method: str, address: str, path: str, value: object = None
    ) -> tuple[int, Any]:
        url = f"http://{address}{path}"
        body = None if value is None else json.dumps(value)
        try:
            resp = self._pool.request(method, url, body=body, headers=self._headers)
            return resp.status, json.loads(resp.data)
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as exc:
            raise _LostError("no connection", sent=False) from exc
        except (HTTPError, OSError, ValueError) as exc:
            raise _LostError(f"no answer ({type(exc).__name__})", sent=True) from exc


def _refused(body: Any) -> CommandError:
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict):
        return CommandError(FAILED, f"unexpected answer: {str(body)[:200]}")
    code = error.get("code", 0)
    exit_code = _EXITS.get(code, FAILED)
    return CommandError(exit_code, f"{code} {error.get('name')}: {error.get('message')}", body)
