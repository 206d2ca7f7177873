from __future__ import annotations

from random import Random

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Workspace
from gentianhitch.soak.limits_fleet import ModelFleet
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock

DOMAINS = ("north", "middle", "south")


def member(number: int, *, incarnation: int = 1, leaving: bool = False) -> Member:
    return Member(
        InstanceId(f"entry-{number:02}", incarnation),
        DOMAINS[number % len(DOMAINS)],
        Address("127.0.0.1", 8000 + number),
        Address("127.0.0.1", 9000 + number),
        leaving,
    )


def members(count: int) -> dict[str, Member]:
    return {one.id.name: one for one in map(member, range(count))}


def state(
    sequence: int,
    members_by_name: dict[str, Member],
    *,
    rate: float = 10.0,
    burst: float = 20.0,
) -> AgreedState:
    workspaces = (Workspace("yard", rate, burst),)
    return AgreedState(
        sequence, members_by_name, Document("trial", workspaces, (), (), ())
    )


def fleet(
    count: int,
    *,
    rate: float = 10.0,
    burst: float = 20.0,
    seed: int = 1,
    faults: Faults | None = None,
    max_owners: int = 4,
) -> ModelFleet:
    random = Random(seed)
    network = Network(SoakClock(), random, faults or Faults())
    model = ModelFleet(
        random, network, (Workspace("yard", rate, burst),), max_owners=max_owners
    )
    for one in members(count).values():
        model.start(one.id.name, one.failure_domain, one.peers)
    model.publish({n: i.member for n, i in model.instances_by_name.items()})
    model.hear_all()
    return model
