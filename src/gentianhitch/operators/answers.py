"""What operators' calls carry over HTTP, as attrs classes."""

from __future__ import annotations

import attrs

from gentianhitch.metrics import HistogramSummary
from gentianhitch.operators.checking import Fault
from gentianhitch.operators.document import Document
from gentianhitch.operators.documents import Change
from gentianhitch.operators.trial import Trial

PREFIX = "/.gentianhitch/operators"
OPERATOR_HEADER = "X-Operator"
OUTCOME_HEADER = "Gentianhitch-Outcome"


@attrs.frozen
class TrialCall:
    """Put ``document`` to trial under the id ``trial_id``."""

    trial_id: str
    document: Document


@attrs.frozen
class PromoteCall:
    """Promote the trial ``trial_id``."""

    trial_id: str


@attrs.frozen
class GiveKeyCall:
    """Add a key, known by its hash, to a workspace."""

    change_id: str
    workspace: str
    key_hash: str


@attrs.frozen
class WithdrawKeyCall:
    """Remove the key whose hash starts with ``key_id`` from a workspace."""

    change_id: str
    workspace: str
    key_id: str


@attrs.frozen
class KeyListing:
    """The key ids of one workspace."""

    workspace: str
    key_ids: tuple[str, ...]


@attrs.frozen
class KeysResponse:
    """The key ids of workspaces in production."""

    keys: tuple[KeyListing, ...]


@attrs.frozen
class StatusResponse:
    """What an environment has agreed on.

    ``in_force`` is the newest sequence that the answering instance knows to be in
    force everywhere.
    """

    environment: str
    sequence: int
    in_force: int
    document: Change | None
    trial: Trial | None


@attrs.frozen
class ErrorResponse:
    """Why a call was refused; ``exit_code`` is that of the command line."""

    message: str
    exit_code: int
    faults: tuple[Fault, ...] = ()


@attrs.frozen
class InstanceReport:
    """What one entry instance knows and has counted since it started.

    ``sequence`` is the newest known one; ``members`` are in the agreed list and
    ``live`` those that the directory may name.
    """

    instance: str
    incarnation: int
    state: str
    fresh: bool
    sequence: int
    members: tuple[str, ...]
    live: tuple[str, ...]
    counts_by_name: dict[str, int]
    histograms: tuple[HistogramSummary, ...]
