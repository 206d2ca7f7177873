"""Messages between the instances that use a service and its stewards."""

from __future__ import annotations

from gentianhitch.instances.codec import message

MAX_SCORES = 16
MAX_NAMES = 64


@message
class ScopeScore:
    """The evidence of one instance against one scope."""

    target: str
    route: str
    workspace: str
    score: float


@message
class EvidenceReport:
    """What one instance saw of a service lately, and a request for grants.

    ``seen`` are the targets with recent evidence; scopes that look well are left
    out of ``scores``. ``absent`` are targets without capacity: leaving or cold.
    """

    service: str
    number: int
    seen: tuple[str, ...]
    scores: tuple[ScopeScore, ...]
    leaving: tuple[str, ...]
    cold: tuple[str, ...]


@message
class VoteRequest:
    """A steward asks another for its vote to lead a service's ejections."""

    service: str
    number: int
    leading: bool


@message
class Vote:
    """A steward's leased vote, with what its reports show.

    ``gray`` are scopes, worst first; ``absent`` are targets without capacity.
    """

    service: str
    number: int
    gray: tuple[ScopeScore, ...]
    absent: tuple[str, ...]


@message
class Ejection:
    """One scope as the leader decided on it; ``weight`` 0 means ejected."""

    target: str
    route: str
    workspace: str
    weight: float


@message
class EjectionGrants:
    """The leader's ejections of a service, leased from the report ``number``."""

    service: str
    number: int
    serial: int
    ejections: tuple[Ejection, ...]
    leaving: tuple[str, ...]
    cold: tuple[str, ...]
