"""Error responses of this system: the cause, and whether the request may have run."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus

import attrs
import msgspec

OUTCOME_HEADER = "Gentianhitch-Outcome"
KEY_NOT_RUN_HEADER = "Gentianhitch-Vouches"
"""Set by an instance that was queried and confirms that the key did not run."""


class RefusalOutcome(Enum):
    """Whether a refused request certainly did not run, or may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Cause(Enum):
    """Reason of a refusal, with its label, HTTP status and advice to the caller."""

    MALFORMED = "malformed", 400, "Send well-formed HTTP/1.1."
    SHORT_BODY = "short-body", 400, "Send as many bytes as Content-Length declares."
    BAD_HEADER = "bad-header", 400, "Correct the header that the detail names."
    AMBIGUOUS_PATH = "ambiguous-path", 400, "Send a path without '.', '..' or '//'."
    UNAUTHORISED = "unauthorised", 401, "Send 'Authorization: Bearer KEY'."
    UNKNOWN_ROUTE = "unknown-route", 404, "Use a method and path of the document."
    BODY_TIMEOUT = "body-timeout", 408, "Send the request without long pauses."
    REPEATED = "repeated", 409, "Ask the service whether the first request ran."
    KEY_REUSED = "key-reused", 409, "Use a new key for each different request."
    KEY_MOVED = "key-moved", 409, "Ask the service whether the first request ran."
    LARGE_BODY = "large-body", 413, "Send a smaller body."
    MISDIRECTED = "misdirected", 421, "Repeat with the same key at the address named."
    OVER_RATE = "over-rate", 429, "Wait as long as Retry-After says."
    LARGE_HEAD = "large-head", 431, "Send a shorter path and smaller headers."
    TRUNCATED_RESPONSE = (
        "cut-answer",
        502,
        "Find out whether it ran before repeating it.",
    )
    INVALID_RESPONSE = (
        "wrong-answer",
        502,
        "Find out whether it ran before repeating it.",
    )
    NO_CONNECTION = "no-connection", 503, "Repeat the request a little later."
    SHED = "shed", 503, "Repeat the request a little later."
    NOT_FRESH = "not-fresh", 503, "Ask the directory for another instance."
    LINK_FULL = "link-full", 503, "Ask the directory for another instance."
    NO_CAPACITY = "no-capacity", 503, "Repeat the request a little later."
    NO_MEMORY = "no-memory", 503, "Repeat the request a little later."
    LEAVING = "leaving", 503, "Ask the directory for another instance."
    DEADLINE = "deadline", 504, "Allow more time in Gentianhitch-Deadline-Ms."
    SILENT = "silent", 504, "Find out whether it ran before repeating it."
    INTERNAL_ERROR = "internal-error", 502, "Find out whether it ran before repeating."
    OLD_VERSION = "old-version", 505, "Use HTTP/1.1."

    def __init__(self, label: str, status: int, advice: str) -> None:
        self.label = label
        self.status = status
        self.advice = advice


@attrs.frozen
class Refusal:
    """One refused request.

    ``address`` is the instance to repeat the request at. ``confirms_not_run`` is set
    in responses to other instances: the idempotency key did not run here.
    """

    cause: Cause
    outcome: RefusalOutcome = RefusalOutcome.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None
    address: str | None = None
    confirms_not_run: bool = False


@attrs.frozen
class RefusalBody:
    """The JSON body of a refusal; callers read its field names."""

    cause: str
    outcome: str
    detail: str
    advice: str
    request_id: str
    address: str | None = None


def encode_refusal(
    refusal: Refusal,
    *,
    request_id: bytes,
    close: bool,
    to_head_request: bool,
    request_id_header: str = "X-Request-Id",
) -> bytes:
    """Encode a refusal as a complete HTTP response.

    Responses to HEAD requests declare the length of the body but don't contain it.
    """
    cause = refusal.cause
    body = msgspec.json.encode(
        RefusalBody(
            cause=cause.label,
            outcome=refusal.outcome.value,
            detail=refusal.detail,
            advice=cause.advice,
            request_id=request_id.decode("latin-1"),
            address=None if refusal.address is None else str(refusal.address),
        )
    )
    lines = [
        f"HTTP/1.1 {cause.status} {HTTPStatus(cause.status).phrase}",
        f"{OUTCOME_HEADER}: {refusal.outcome.value}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    if request_id:
        lines.append(f"{request_id_header}: {request_id.decode('latin-1')}")
    if cause is Cause.UNAUTHORISED:
        lines.append("WWW-Authenticate: Bearer")
    if refusal.retry_after_s is not None:
        lines.append(f"Retry-After: {refusal.retry_after_s:g}")
    if refusal.address is not None:
        lines.append(f"Gentianhitch-Address: {refusal.address}")
    if refusal.confirms_not_run:
        lines.append(f"{KEY_NOT_RUN_HEADER}: yes")
    if close:
        lines.append("Connection: close")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return head if to_head_request else head + body
