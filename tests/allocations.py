"""Measure the memory that a part of a test allocates and keeps."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def allocated_bytes() -> Iterator[Callable[[], int]]:
    """Yield a function that returns what was allocated since and not freed.

    Cycles are not collected meanwhile.
    """
    gc.collect()
    gc.disable()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
        gc.enable()
