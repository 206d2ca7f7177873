"""The interface through which decisions reach other entry instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from typing import TypeVar

from gentianhitch.addresses import Address
from gentianhitch.instances.identity import InstanceId

T = TypeVar("T")
Handler = Callable[[InstanceId, T], None]


class Transport(Protocol):
    """Send messages to peers without waiting; a message may be lost or late."""

    def send(self, peers: Address, body: object) -> None:
        """Send ``body`` to the instance that listens at ``peers``."""
        ...

    def subscribe(self, kind: type[T], handler: Handler[T]) -> None:
        """Call ``handler`` with the sender and each message of ``kind``."""
        ...
