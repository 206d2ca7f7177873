"""Request and response bodies of operators' calls."""

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
    """Request to put ``document`` to trial under the id ``trial_id``."""

    trial_id: str
    document: Document


@attrs.frozen
class PromoteCall:
    """Request to promote the trial ``trial_id``."""

    trial_id: str


@attrs.frozen
class GiveKeyCall:
    """Request to add a key, given by its hash, to a workspace."""

    change_id: str
    workspace: str
    key_hash: str


@attrs.frozen
class WithdrawKeyCall:
    """Request to remove the key whose hash starts with ``key_id``."""

    change_id: str
    workspace: str
    key_id: str


@attrs.frozen
class KeyListing:
    """Key ids of one workspace."""

    workspace: str
    key_ids: tuple[str, ...]


@attrs.frozen
class KeysResponse:
    """Key ids of all workspaces in production."""

    keys: tuple[KeyListing, ...]


@attrs.frozen
class StatusResponse:
    """Current state of an environment.

    ``sequence`` is that of the head, and ``in_force`` the newest one that the
    responding instance knows to be in force everywhere.
    """

    environment: str
    sequence: int
    in_force: int
    document: Change | None
    trial: Trial | None


@attrs.frozen
class ErrorResponse:
    """Error of a failed call; ``exit_code`` is the exit code of the command."""

    message: str
    exit_code: int
    faults: tuple[Fault, ...] = ()


@attrs.frozen
class InstanceReport:
    """State of one entry instance and its metrics since it started.

    ``sequence`` is the newest one known. ``members`` are the instances in the agreed
    list, and ``live`` those that the directory may return.
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
