"""Structured log events: one line for each decision, with a limited rate."""

from __future__ import annotations

import os
import time
from typing import Any

import attrs
from loguru import logger

from gentianhitch import json_codec

MAX_LINES_PER_S = 400
"""About ten lines for each of the requests that an instance serves at its peak."""

STDOUT = 1


@attrs.define
class BoundedOutput:
    """Write lines to a file descriptor without blocking.

    ``dropped`` counts the lines above the rate limit and those that found a full pipe.
    """

    descriptor: int = STDOUT
    max_lines_per_s: int = MAX_LINES_PER_S
    dropped: int = 0
    _second: int = 0
    _lines: int = 0

    def open(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self.descriptor, False)

    def write(self, line: str) -> None:
        """Write one line, or count it as dropped."""
        second = int(time.clock_gettime(time.CLOCK_BOOTTIME))
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > self.max_lines_per_s:
            self.dropped += 1
            return
        try:
            os.write(self.descriptor, line.encode())
        except OSError:
            self.dropped += 1


class Events:
    """Log events as one JSON object per line."""

    def __init__(self, instance: str, output: BoundedOutput) -> None:
        self._instance = instance
        self.output = output
        logger.remove()
        logger.add(output.write, format="{message}", level="INFO", catch=True)

    def request(self, event: str, request_id: bytes, **inputs: Any) -> None:
        """Log a decision about one request, with the inputs of the decision."""
        self._emit(event, {"request": request_id.decode("latin-1"), **inputs})

    def state(self, event: str, **inputs: Any) -> None:
        """Log a change of this instance's state."""
        self._emit(event, inputs)

    def _emit(self, event: str, fields: dict[str, Any]) -> None:
        line = {"event": event, "instance": self._instance, "t": time.time(), **fields}
        if self.output.dropped:
            line["dropped_lines"] = self.output.dropped
        logger.opt(raw=True).info("{}\n", json_codec.encode(line).decode())

    def failure(self, failure: Any) -> None:
        """Log an unexpected error in a background task."""
        self._emit(
            "internal_error",
            {"kind": failure.type.__name__, "detail": failure.getErrorMessage()},
        )
