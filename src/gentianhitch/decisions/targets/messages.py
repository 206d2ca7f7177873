"""Messages between a service's instances and its ejection coordinators."""

from __future__ import annotations

from gentianhitch.instances.codec import message

MAX_SCORES = 16
MAX_TARGETS = 64


@message
class ScopeScore:
    """The evidence of one instance against one scope."""

    target: str
    route: str
    workspace: str
    score: float


@message
class EvidenceReport:
    """One instance's recent evidence on a service; also requests grants.

    ``seen`` are the targets with recent evidence. ``scores`` leaves out scopes with
    a low score.
    """

    service: str
    number: int
    seen: tuple[str, ...]
    scores: tuple[ScopeScore, ...]
    leaving: tuple[str, ...]
    cold: tuple[str, ...]


@message
class VoteRequest:
    """A coordinator's request for a vote, to lead the ejections of a service."""

    service: str
    number: int
    leading: bool


@message
class Vote:
    """A coordinator's leased vote, with the findings from its pooled reports.

    ``gray`` are scopes, worst first; ``absent`` are targets without capacity, since
    they are leaving or cold.
    """

    service: str
    number: int
    gray: tuple[ScopeScore, ...]
    absent: tuple[str, ...]


@message
class Ejection:
    """The share of its load that a scope may get; ``weight`` 0 means ejected."""

    target: str
    route: str
    workspace: str
    weight: float


@message
class EjectionGrants:
    """The leader's ejections of a service.

    Their lease starts when the report ``number`` was sent.
    """

    service: str
    number: int
    serial: int
    ejections: tuple[Ejection, ...]
    leaving: tuple[str, ...]
    cold: tuple[str, ...]
