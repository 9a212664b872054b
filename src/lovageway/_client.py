"""Client of the operators' interface: tries addresses in turn and retries unconfirmed changes."""

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
READ_TIMEOUT_S = 20.0  # longer than the daemon's own deadline for a change
RETRY_INTERVAL_S = 0.5

# Exit codes of the operator commands.
OK = 0
FAILED = 1  # any refusal without an exit code of its own, or a malformed answer
USAGE = 2
CONFLICT = 3
NOT_ACCEPTED = 4  # nothing was applied
UNKNOWN = 5  # the change may or may not have been accepted
INVALID = 6
NO_ANSWER = 7  # no daemon answered and nothing was applied
KEY_REFUSED = 8
NOT_EVERYWHERE = 9  # accepted, but not yet in force on each live VM
NOT_FOUND = 10

# Exit code for each result code of a refusal.
_EXIT_CODES = {
    4901: CONFLICT,
    4902: NOT_ACCEPTED,
    4903: INVALID,
    4904: KEY_REFUSED,
    4905: NOT_FOUND,
}
_EXIT_CODES |= {4001: INVALID, 4004: INVALID}


class CommandError(Exception):
    """A command failed; the meaning of each `exit_code` is stable.

    Parameters
    ----------
    exit_code
        One of the constants of this module.
    message
        Message for the operator.
    body
        Refusal from the daemon, if there was one.
    """

    def __init__(self, exit_code: int, message: str, body: dict[str, Any] | None = None) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.body = body or {"error": {"message": message}}


class _NoAnswerError(Exception):
    """There was no answer; `sent` is whether the daemon may have received the request."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class Client:
    """Sends requests to the first of several daemons that answers.

    Parameters
    ----------
    addresses
        Operators' listeners, "IP:PORT", in order of preference.
    key_file
        File with an operator key.
    timeout_s
        How long an unconfirmed change is retried.
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
        """Return the JSON at `path` from the first daemon that answers."""
        reasons = []
        for address in list(self._addresses):
            try:
                status, body = self._request("GET", address, path)
            except _NoAnswerError as exc:
                reasons.append(f"{address}: {exc}")
                self._prefer_others(address)
                continue
            if status == 200:
                return body
            raise _refusal_error(body)
        raise CommandError(NO_ANSWER, "No daemon answered. " + "; ".join(reasons))

    def apply(self, changes: Sequence[dict[str, Any]], base_version: int | None) -> int:
        """Apply a change and return the version that contains it.

        Retries carry the same operation id, so the change is applied at most once.
        """
        op_id = f"cli-{secrets.token_hex(8)}"
        request = {"op_id": op_id, "base_version": base_version, "changes": list(changes)}
        deadline = time.monotonic() + self._timeout_s
        unconfirmed, reason = False, ""
        while True:
            for address in list(self._addresses):
                try:
                    status, body = self._request("POST", address, "/admin/config/apply", request)
                except _NoAnswerError as exc:
                    unconfirmed, reason = unconfirmed or exc.sent, f"{address}: {exc}"
                    self._prefer_others(address)
                    continue
                if status == 200:
                    return int(body["version"])
                error = _refusal_error(body)
                if error.exit_code != NOT_ACCEPTED:
                    # Before these refusals the daemon checks whether the operation was already
                    # accepted, so the change was not applied by an earlier attempt either.
                    raise error
                unconfirmed = unconfirmed or body["error"]["ran"] != "no"
                reason = str(error)
            # If no attempt is unconfirmed, the change took effect on no daemon, and the operator
            # decides whether to repeat the command.
            if not unconfirmed or time.monotonic() >= deadline:
                break
            time.sleep(RETRY_INTERVAL_S)
        raise self._apply_error(op_id, unconfirmed, reason)

    def _apply_error(self, op_id: str, unconfirmed: bool, reason: str) -> CommandError:
        if unconfirmed:
            return CommandError(
                UNKNOWN,
                f"Operation {op_id} may or may not have been accepted: {reason} "
                "Check whether `lovageway config show` lists it before you apply the change again.",
            )
        if "4902" in reason:
            return CommandError(NOT_ACCEPTED, f"Nothing was applied. {reason}")
        return CommandError(NO_ANSWER, f"No daemon answered, nothing was applied. {reason}")

    def _prefer_others(self, address: str) -> None:
        """Move an address that does not answer to the end of the list."""
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
            raise _NoAnswerError("no connection", sent=False) from exc
        except (HTTPError, OSError, ValueError) as exc:
            raise _NoAnswerError(f"no answer ({type(exc).__name__})", sent=True) from exc


def _refusal_error(body: Any) -> CommandError:
    error = body.get("error") if isinstance(body, dict) else None
    if not isinstance(error, dict):
        return CommandError(FAILED, f"unexpected answer: {str(body)[:200]}")
    code = error.get("code", 0)
    exit_code = _EXIT_CODES.get(code, FAILED)
    return CommandError(exit_code, f"{code} {error.get('name')}: {error.get('message')}", body)
