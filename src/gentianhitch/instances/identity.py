"""Names of entry instances and the agreed list of them."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address


@attrs.frozen(order=True)
class InstanceId:
    """Identify one run of an instance.

    ``incarnation`` is the wall-clock start in milliseconds: a later run of the
    same name has a larger one.
    """

    name: str
    incarnation: int


@attrs.frozen
class Member:
    """One entry instance in the agreed list."""

    id: InstanceId
    failure_domain: str
    callers: Address
    peers: Address
    leaving: bool = False
