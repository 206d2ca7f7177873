"""HTTP resource of an entry instance that serves operators' calls."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from typing import Any
from typing import TypeVar

import attrs
from klein import Klein
from loguru import logger
from twisted.python.failure import Failure
from twisted.web.http import Request

from gentianhitch import json_codec
from gentianhitch.errors import ExitCode
from gentianhitch.errors import GentianhitchError
from gentianhitch.operators import answers
from gentianhitch.operators import documents
from gentianhitch.operators import head as heads
from gentianhitch.operators import keys
from gentianhitch.operators import trial as trials
from gentianhitch.operators.checking import FaultyDocumentError
from gentianhitch.operators.errors import NotAuthorisedError
from gentianhitch.operators.errors import WrongChangeError
from gentianhitch.platform.interface import Platform

T = TypeVar("T")

BEARER = "Bearer "
UNNAMED_OPERATOR = "unnamed"
MAX_NAME_LENGTH = 80
UNAUTHORISED_STATUS = 401
STATUS_BY_EXIT_CODE = {
    ExitCode.USAGE: 400,
    ExitCode.LOST_RACE: 409,
    ExitCode.OUTCOME_UNKNOWN: 504,
    ExitCode.FAILED: 503,
}
INTERNAL_STATUS = 500


def _nothing_in_force() -> int:
    return 0


@attrs.define(eq=False)
class OperatorsResource:
    """Serve operators' calls; mount ``resource()`` below ``answers.PREFIX``.

    ``in_force`` returns the newest sequence known to be in force everywhere.
    ``report`` is only needed for ``GET /instance``.
    """

    platform: Platform
    environment: str
    operator_key_hashes: tuple[str, ...]
    in_force: Callable[[], int] = _nothing_in_force
    report: Callable[[], answers.InstanceReport] | None = None

    app = Klein()

    def resource(self) -> Any:
        """Return the twisted.web resource that routes the calls."""
        return self.app.resource()

    @app.route("/status", methods=["GET"])
    async def status(self, request: Request) -> bytes:
        """Return the change in production and the current trial."""
        self._authorise(request)
        head = (
            await documents.translate_errors(
                heads.read_head(self.platform, self.environment)
            )
        ).head
        current = await trials.read_trial(self.platform, self.environment)
        change = (
            documents.current_change(head, head.document) if head.document else None
        )
        response = answers.StatusResponse(
            self.environment, head.sequence, self.in_force(), change, current.trial
        )
        return _respond(request, response)

    @app.route("/instance", methods=["GET"])
    def instance(self, request: Request) -> bytes:
        """Return the state, counters and histograms of this instance."""
        self._authorise(request)
        assert self.report is not None, "GET /instance needs a report callback"
        return _respond(request, self.report())

    @app.route("/document", methods=["GET"])
    async def document(self, request: Request) -> bytes:
        """Return the document in production; WrongChangeError if there is none."""
        self._authorise(request)
        production = await documents.read_production(self.platform, self.environment)
        if production.document is None:
            raise WrongChangeError("nothing was promoted yet")
        return _respond(request, production.document)

    @app.route("/trial", methods=["PUT"])
    async def trial(self, request: Request) -> bytes:
        """Validate a document and put it to trial."""
        operator = self._authorise(request)
        call = _decode_body(request, answers.TrialCall)
        response = await trials.put_to_trial(
            self.platform, self.environment, call.trial_id, call.document, operator
        )
        logger.info("trial {} stored by {}", response.trial.id, operator)
        return _respond(request, response)

    @app.route("/promote", methods=["POST"])
    async def promote(self, request: Request) -> bytes:
        """Promote the tried document to production."""
        operator = self._authorise(request)
        call = _decode_body(request, answers.PromoteCall)
        change = await trials.promote(
            self.platform, self.environment, call.trial_id, operator
        )
        logger.info("revision {} promoted by {}", change.revision, operator)
        return _respond(request, change)

    @app.route("/keys", methods=["GET"])
    async def list_keys(self, request: Request) -> bytes:
        """Return the key ids of every workspace in production."""
        self._authorise(request)
        production = await documents.read_production(self.platform, self.environment)
        document = production.document
        listings = tuple(
            answers.KeyListing(
                workspace.name,
                tuple(keys.key_id(key_hash) for key_hash in workspace.key_hashes),
            )
            for workspace in (document.workspaces if document else ())
        )
        return _respond(request, answers.KeysResponse(listings))

    @app.route("/keys/give", methods=["POST"])
    async def give_key(self, request: Request) -> bytes:
        """Add a key hash to a workspace."""
        operator = self._authorise(request)
        call = _decode_body(request, answers.GiveKeyCall)
        changed = await keys.give_key(
            self.platform,
            self.environment,
            call.change_id,
            call.workspace,
            call.key_hash,
            operator,
        )
        logger.info("key {} given by {}", changed.key_id, operator)
        return _respond(request, changed)

    @app.route("/keys/withdraw", methods=["POST"])
    async def withdraw_key(self, request: Request) -> bytes:
        """Remove the key with the given id from a workspace."""
        operator = self._authorise(request)
        call = _decode_body(request, answers.WithdrawKeyCall)
        changed = await keys.withdraw_key(
            self.platform,
            self.environment,
            call.change_id,
            call.workspace,
            call.key_id,
            operator,
        )
        logger.info("key {} withdrawn by {}", changed.key_id, operator)
        return _respond(request, changed)

    @app.handle_errors(GentianhitchError)
    def respond_with_error(self, request: Request, failure: Failure) -> bytes:
        """Respond with the error, and whether the call may have taken effect."""
        error: Any = failure.value
        status = STATUS_BY_EXIT_CODE.get(error.exit_code, INTERNAL_STATUS)
        if isinstance(error, NotAuthorisedError):
            status = UNAUTHORISED_STATUS
        faults = error.faults if isinstance(error, FaultyDocumentError) else ()
        is_unknown = error.exit_code == ExitCode.OUTCOME_UNKNOWN
        request.setHeader(
            answers.OUTCOME_HEADER, "unknown" if is_unknown else "not-run"
        )
        response = answers.ErrorResponse(str(error), int(error.exit_code), faults)
        return _respond(request, response, status)

    def _authorise(self, request: Request) -> str:
        """Return the operator's name and key id.

        Raise NotAuthorisedError unless the call carries a known operator key.
        """
        presented = (request.getHeader("Authorization") or "").removeprefix(BEARER)
        presented_hash = keys.hash_key(presented)
        matches = [
            hmac.compare_digest(presented_hash, key_hash)
            for key_hash in self.operator_key_hashes
        ]
        if not any(matches):
            raise NotAuthorisedError("the operator key is missing or unknown")
        name = request.getHeader(answers.OPERATOR_HEADER) or UNNAMED_OPERATOR
        printable = "".join(char for char in name if char.isprintable())
        return f"{printable[:MAX_NAME_LENGTH]} (key {keys.key_id(presented_hash)})"


def _decode_body(request: Request, kind: type[T]) -> T:
    content: Any = request.content
    try:
        return json_codec.decode(content.read(), kind)
    except json_codec.DecodeError as error:
        raise WrongChangeError(f"malformed call: {error}") from error


def _respond(request: Request, value: object, status: int = 200) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    return json_codec.encode(value)
