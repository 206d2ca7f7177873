"""Put documents to trial and promote the tried document unchanged."""

from __future__ import annotations

import attrs

from gentianhitch import json_codec
from gentianhitch.operators import documents
from gentianhitch.operators import head as heads
from gentianhitch.operators.checking import Fault
from gentianhitch.operators.checking import FaultyDocumentError
from gentianhitch.operators.checking import require_valid
from gentianhitch.operators.differences import Difference
from gentianhitch.operators.differences import compare
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Workspace
from gentianhitch.operators.errors import LostRaceError
from gentianhitch.operators.errors import OperatorsError
from gentianhitch.operators.errors import OperatorsOutcomeUnknownError
from gentianhitch.operators.errors import OperatorsUnavailableError
from gentianhitch.operators.errors import WrongChangeError
from gentianhitch.platform.interface import ABSENT
from gentianhitch.platform.interface import ConflictError
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import Platform
from gentianhitch.platform.interface import UnavailableError

MAX_ATTEMPTS = 8


@attrs.frozen
class Trial:
    """A document on trial, based on revision ``base_revision`` of production.

    ``tried_by`` is the operator who put it to trial.
    """

    id: str
    digest: str
    base_revision: int
    tried_by: str


@attrs.frozen
class StoredTrial:
    """The current trial and the store revision of its key.

    ``trial`` is None before the first trial.
    """

    trial: Trial | None
    revision: int


@attrs.frozen
class TrialResponse:
    """Result of storing a trial.

    ``replaced`` is the trial that it overwrote and ``differences`` are relative to
    production.
    """

    trial: Trial
    replaced: Trial | None
    differences: tuple[Difference, ...] = ()


def trial_key(environment: str) -> str:
    """Return the key that holds the current trial in the platform's store."""
    return f"gentianhitch/{environment}/trial"


async def read_trial(platform: Platform, environment: str) -> StoredTrial:
    """Read the current trial.

    Raise OperatorsUnavailableError, or OperatorsError if the value is malformed.
    """
    try:
        entry = await platform.get(trial_key(environment))
    except UnavailableError as error:
        raise OperatorsUnavailableError(f"cannot read the trial: {error}") from error
    if entry is None:
        return StoredTrial(None, ABSENT)
    try:
        trial = json_codec.decode(entry.value, Trial)
    except json_codec.DecodeError as error:
        raise OperatorsError(f"malformed trial: {error}") from error
    return StoredTrial(trial, entry.revision)


async def put_to_trial(
    platform: Platform,
    environment: str,
    trial_id: str,
    document: Document,
    operator: str,
) -> TrialResponse:
    """Validate a document and store it as the current trial.

    Workspaces that exist in production keep their keys, which are only changed by
    ``gentianhitch keys``. Raise FaultyDocumentError if the document is invalid or
    lists a key that production does not have.
    """
    require_valid(document, environment)
    production = await documents.read_production(platform, environment)
    document = _keep_production_keys(document, production.document)
    require_valid(document)
    digest = await documents.write_document(platform, environment, document)
    trial = Trial(trial_id, digest, production.revision, operator)
    response = await _store(platform, environment, trial)
    differences = compare(production.document, document)
    return attrs.evolve(response, differences=differences)


async def promote(
    platform: Platform, environment: str, trial_id: str, operator: str
) -> documents.Change:
    """Make the tried document the one in production; retries are idempotent.

    Raise WrongChangeError if there is no trial and LostRaceError if another trial or
    document change came first.
    """
    stored = await documents.translate_errors(heads.read_head(platform, environment))
    accepted = documents.find_change(stored.head, trial_id)
    if accepted is not None:
        return accepted
    trial = (await read_trial(platform, environment)).trial
    if trial is None:
        raise WrongChangeError("no document was put to trial")
    if trial.id != trial_id:
        accepted = await documents.cancel_change(platform, environment, trial_id)
        if accepted is not None:
            return accepted
        raise LostRaceError(
            f"lost the race to {trial.tried_by}: the current trial is {trial.id},"
            f" not {trial_id}"
        )
    return await documents.commit_document(
        platform, environment, trial.id, trial.base_revision, trial.digest, operator
    )


async def _store(platform: Platform, environment: str, trial: Trial) -> TrialResponse:
    replaced: Trial | None = None
    for _ in range(MAX_ATTEMPTS):
        current = await read_trial(platform, environment)
        if current.trial is not None and current.trial.id == trial.id:
            return TrialResponse(current.trial, replaced)
        replaced = current.trial
        try:
            await platform.put(
                trial_key(environment),
                json_codec.encode(trial),
                expected_revision=current.revision,
            )
        except (ConflictError, OutcomeUnknownError):
            continue
        except UnavailableError as error:
            raise OperatorsUnavailableError(f"cannot write: {error}") from error
        return TrialResponse(trial, replaced)
    raise OperatorsOutcomeUnknownError("no reply to the writes of the trial")


def _keep_production_keys(document: Document, production: Document | None) -> Document:
    if production is None:
        return document
    known = {workspace.name: workspace for workspace in production.workspaces}
    faults = tuple(
        Fault(
            f"workspace {workspace.name!r}",
            "lists a key hash that production does not have; change keys by"
            " 'gentianhitch keys'",
        )
        for workspace in document.workspaces
        if workspace.name in known
        and not set(workspace.key_hashes) <= set(known[workspace.name].key_hashes)
    )
    if faults:
        raise FaultyDocumentError(faults)
    kept = tuple(
        _with_known_keys(workspace, known.get(workspace.name))
        for workspace in document.workspaces
    )
    return attrs.evolve(document, workspaces=kept)


def _with_known_keys(workspace: Workspace, known: Workspace | None) -> Workspace:
    if known is None:
        return workspace
    return attrs.evolve(workspace, key_hashes=known.key_hashes)
