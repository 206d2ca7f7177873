"""Interface for sending messages to other entry instances."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from typing import TypeVar

from gentianhitch.addresses import Address
from gentianhitch.instances.identity import InstanceId

T = TypeVar("T")
Handler = Callable[[InstanceId, T], None]


class Transport(Protocol):
    """Sends messages to peers without blocking; messages may be lost or delayed."""

    def send(self, peers: Address, body: object) -> None:
        """Send ``body`` to the instance that listens at ``peers``."""
        ...

    def subscribe(self, kind: type[T], handler: Handler[T]) -> None:
        """Call ``handler`` with the sender and each message of ``kind``."""
        ...
