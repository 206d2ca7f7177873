from __future__ import annotations

from random import Random

from twisted.internet.task import Clock

from gentianhitch.addresses import Address
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network


def make_address(number: int, port: int = 4000) -> Address:
    return Address(f"127.0.{number // 250}.{number % 250 + 1}", port)


def make_member(number: int, incarnation: int = 1, domains: int = 3) -> Member:
    return Member(
        InstanceId(f"entry-{number:03}", incarnation),
        f"domain-{number % domains}",
        make_address(number, 8000),
        make_address(number),
    )


def make_network(seed: int = 1, **faults: float) -> Network:
    return Network(Clock(), Random(seed), Faults(**faults))
