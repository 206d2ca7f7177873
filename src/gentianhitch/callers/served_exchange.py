"""What a caller's connection needs of a request that is being served."""

from __future__ import annotations

from typing import Protocol


class Exchange(Protocol):
    """One request that is being served."""

    def caller_disconnected(self, detail: str = "") -> None:
        """Cancel the request: the response has no receiver; ``detail`` says why."""
        ...

    def respond_now(self) -> None:
        """Send a response now, without waiting for a backend server."""
        ...
