"""Numbered result codes; docs/codes.md is generated from this module."""

from enum import IntEnum
from typing import Literal, NamedTuple

Ran = Literal["no", "yes", "unknown"]


class Code(IntEnum):
    """Number of each kind of refusal; numbers never change."""

    MALFORMED = 4001
    UNKNOWN_MODEL = 4002
    UNKNOWN_KEY = 4003
    TOO_LARGE = 4004
    UNKNOWN_METHOD = 4005
    IDEMPOTENCY_KEY_MISSING = 4006
    IDEMPOTENCY_KEY_REUSED = 4007
    BAD_RESUME_TOKEN = 4008
    NO_ROUTE = 4009
    STARTING = 4101
    CONFIG_STALE = 4102
    LEAVING = 4103
    TABLE_DOWN = 4104
    REQUEST_RATE = 4201
    CONCURRENCY = 4202
    TOKEN_RATE = 4203
    SHARE_UNAVAILABLE = 4205
    QUEUE_FULL = 4301
    NO_SERVER = 4302
    WAITED_TOO_LONG = 4303
    SERVERS_LIMITED = 4304
    CLAIM_UNKNOWN = 4501
    OUTCOME_UNKNOWN = 4502
    IN_PROGRESS = 4503
    OUTCOME_UNKNOWN_NOW = 4504
    ANSWER_NOT_STORED = 4505
    STREAM_LOST = 4601
    GENERATION_LOST = 4602
    ATTEMPT_FAILED = 4603
    RETRY_BUDGET = 4604
    POISON = 4605
    TIMED_OUT = 4606
    SUSPECTED = 4607
    PROMPT_HELD = 4608
    SERVER_CRASHED = 4609
    CONFLICT = 4901
    NOT_ACCEPTED = 4902
    INVALID_CHANGE = 4903
    OPERATOR_KEY = 4904
    NOT_FOUND = 4905


class CodeInfo(NamedTuple):
    """HTTP status and texts of one result code."""

    status: int  # HTTP status
    ran: Ran  # whether the request took effect
    meaning: str
    remedy: str


INFO: dict[Code, CodeInfo] = {
    Code.MALFORMED: CodeInfo(400, "no", "The request cannot be parsed.", "Correct it."),
    Code.UNKNOWN_MODEL: CodeInfo(
        404, "no", "No such model or service in the contract.", "List them with GET /v1/models."
    ),
    Code.UNKNOWN_KEY: CodeInfo(
        401, "no", "The key belongs to no client account.", "Use a valid key."
    ),
    Code.TOO_LARGE: CodeInfo(
        413, "no", "Body or headers exceed the size limit.", "Send a smaller request."
    ),
    Code.UNKNOWN_METHOD: CodeInfo(
        404, "no", "The service has no such method.", "Correct the path."
    ),
    Code.IDEMPOTENCY_KEY_MISSING: CodeInfo(
        400, "no", "The method is not idempotent.", "Send an Idempotency-Key header."
    ),
    Code.IDEMPOTENCY_KEY_REUSED: CodeInfo(
        422, "no", "The idempotency key was used with another body.", "Use a new key."
    ),
    Code.BAD_RESUME_TOKEN: CodeInfo(
        400, "no", "The resume token is not valid for this account.", "Send the request again."
    ),
    Code.NO_ROUTE: CodeInfo(
        404, "no", "No route matches the request.", "Correct the host or path."
    ),
    Code.STARTING: CodeInfo(
        503, "no", "The daemon has no configuration yet.", "Use another address or try again later."
    ),
    Code.CONFIG_STALE: CodeInfo(
        503,
        "no",
        "The daemon has lost contact with table service and peers.",
        "Use another address.",
    ),
    Code.LEAVING: CodeInfo(503, "no", "The daemon is stopping.", "Use another address."),
    Code.TABLE_DOWN: CodeInfo(
        503, "no", "Calls that are not idempotent need the table service.", "Send again later."
    ),
    Code.REQUEST_RATE: CodeInfo(
        429, "no", "The contract's request rate is used up.", "Send again after retry_after_s."
    ),
    Code.CONCURRENCY: CodeInfo(
        429, "no", "The contract's limit of concurrent requests is reached.", "Send again later."
    ),
    Code.TOKEN_RATE: CodeInfo(
        429, "no", "The contract's output token rate is used up.", "Send again after retry_after_s."
    ),
    Code.SHARE_UNAVAILABLE: CodeInfo(
        503, "no", "No share of the limit could be obtained.", "Send again after retry_after_s."
    ),
    Code.QUEUE_FULL: CodeInfo(
        503,
        "no",
        "The expected wait exceeds the contract's max_wait_s.",
        "Send again after retry_after_s.",
    ),
    Code.NO_SERVER: CodeInfo(
        503, "no", "No backend server of the service is ready.", "Send again after retry_after_s."
    ),
    Code.WAITED_TOO_LONG: CodeInfo(
        503, "no", "No capacity became free in time.", "Send again after retry_after_s."
    ),
    Code.SERVERS_LIMITED: CodeInfo(
        503,
        "no",
        "Every server of the service limits its requests, and no share is free in time.",
        "Send again after retry_after_s.",
    ),
    Code.CLAIM_UNKNOWN: CodeInfo(
        503, "no", "The claim could not be confirmed; nothing was sent.", "Send again later."
    ),
    Code.OUTCOME_UNKNOWN: CodeInfo(
        409,
        "unknown",
        "The daemon that ran the call is gone.",
        "Check the effect; do not send the call again.",
    ),
    Code.IN_PROGRESS: CodeInfo(
        409, "unknown", "The call is being run.", "Send again with the same key."
    ),
    Code.OUTCOME_UNKNOWN_NOW: CodeInfo(
        502, "unknown", "The answer was lost after the call was sent.", "Check the effect."
    ),
    Code.ANSWER_NOT_STORED: CodeInfo(
        409,
        "yes",
        "The call ran once; its answer is too large to keep.",
        "Read its effect from the service.",
    ),
    Code.STREAM_LOST: CodeInfo(
        502, "yes", "This daemon could not continue the stream.", "Resume with the token."
    ),
    Code.GENERATION_LOST: CodeInfo(
        502, "yes", "The engine lost the generation after delivery began.", "Send a new request."
    ),
    Code.ATTEMPT_FAILED: CodeInfo(502, "yes", "The backend server failed.", "Send again."),
    Code.RETRY_BUDGET: CodeInfo(
        503, "yes", "The attempt failed and the retry budget is spent.", "Send again later."
    ),
    Code.POISON: CodeInfo(
        422, "yes", "Backend servers died while running this request.", "Do not send it again."
    ),
    Code.TIMED_OUT: CodeInfo(
        504, "unknown", "The timeout of the route or of the caller expired.", "Check the effect."
    ),
    Code.SUSPECTED: CodeInfo(
        503,
        "no",
        "Servers failed while running earlier copies of this request.",
        "Do not send it again.",
    ),
    Code.PROMPT_HELD: CodeInfo(
        503,
        "no",
        "A part of the prompt crashes the servers that answer it.",
        "Do not send it again; the operators see the part under the mark.",
    ),
    Code.SERVER_CRASHED: CodeInfo(
        502,
        "unknown",
        "The server ended while running this request, as others did under the same mark.",
        "Check the effect; do not send it again.",
    ),
    Code.CONFLICT: CodeInfo(
        409,
        "no",
        "Another change was accepted first.",
        "Read the current version and apply the change again.",
    ),
    Code.NOT_ACCEPTED: CodeInfo(
        503,
        "unknown",
        "The daemon could not confirm that the change was accepted.",
        "Check whether the current version contains the change; if not, apply it again.",
    ),
    Code.INVALID_CHANGE: CodeInfo(400, "no", "The change is not valid.", "Correct it."),
    Code.OPERATOR_KEY: CodeInfo(
        401, "no", "The operators' interface needs an operator key.", "Use a valid key."
    ),
    Code.NOT_FOUND: CodeInfo(404, "no", "There is no such page or item.", "Correct the path."),
}


class Refusal(NamedTuple):
    """Final answer to a request that is not served, or whose attempt failed."""

    code: Code
    detail: str = ""
    retry_after_s: float | None = None
    ran: Ran | None = None  # overrides the code's `ran` in INFO if this case is known better
    addresses: tuple[str, ...] = ()  # of daemons to use instead
    earlier: Literal["unknown"] | None = None  # set if earlier calls with the key may have run
    others_may_run_s: float | None = None  # how long copies of a call with a key may still start

    @property
    def effect(self) -> Ran:
        """Whether the request took effect."""
        return self.ran or INFO[self.code].ran

    def to_json(self) -> dict[str, object]:
        """Return the body of the error response."""
        info = INFO[self.code]
        message = f"{info.meaning} {self.detail}".strip()
        error: dict[str, object] = {
            "code": int(self.code),
            "name": self.code.name,
            "message": f"{message} {info.remedy}",
            "ran": self.effect,
            "retry_after_s": self.retry_after_s,
        }
        if self.addresses:
            error["addresses"] = self.addresses
        if self.earlier is not None:
            error["earlier_submissions"] = self.earlier
        if self.earlier is not None or self.others_may_run_s is not None:
            error["other_submissions_may_run_s"] = self.others_may_run_s
        return {"error": error}
