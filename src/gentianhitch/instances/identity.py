"""Identity and addresses of entry instances."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address


@attrs.frozen(order=True)
class InstanceId:
    """Identifies one run (incarnation) of an instance.

    ``incarnation`` is the wall-clock start time in milliseconds, so a later run with
    the same name has a larger value.
    """

    name: str
    incarnation: int


@attrs.frozen
class Member:
    """An entry instance with its addresses, as recorded in the member list."""

    id: InstanceId
    failure_domain: str
    callers: Address
    peers: Address
    leaving: bool = False
