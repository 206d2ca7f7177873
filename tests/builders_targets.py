"""Build documents, members and agreements for tests of targets."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service

DOMAINS = ("d1", "d2", "d3")
READ = Route("GET", "/stock", "stock", idempotent=True)


def member(index: int, leaving: bool = False) -> Member:
    return Member(
        InstanceId(f"i{index}", 1),
        DOMAINS[index % len(DOMAINS)],
        Address("127.0.0.1", 1000 + index),
        Address("127.0.0.1", 2000 + index),
        leaving,
    )


def members(count: int) -> dict[str, Member]:
    return {m.id.name: m for m in map(member, range(count))}


def document(
    targets: int = 6, slots: int = 6, connections: int = 330, floor: int = 24
) -> Document:
    servers = tuple(
        BackendServer(
            f"t{index}",
            Address("127.0.0.1", 3000 + index),
            DOMAINS[index % len(DOMAINS)],
            "stock",
            slots,
            connections,
        )
        for index in range(targets)
    )
    others = tuple(Service(name, 1, 1000) for name in ("orders", "history", "quotes"))
    return Document(
        "test", (), (Service("stock", floor, 1000), *others), servers, (READ,)
    )


@attrs.define
class FixedAgreement:
    states: tuple[AgreedState, ...]
    fresh: bool = True

    def is_fresh(self, now: float) -> bool:
        return self.fresh

    def active(self, now: float) -> tuple[AgreedState, ...]:
        return self.states


def agreement(count: int = 10, **shape: int) -> FixedAgreement:
    return FixedAgreement((AgreedState(1, members(count), document(**shape)),))


def attempt(
    target: str, outcome: Outcome = Outcome.OK, latency_s: float = 0.02
) -> Attempt:
    return Attempt(target, READ, "w", outcome, latency_s)
