"""Switch faults of a stand-in backend server on and off."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs
import msgspec


@attrs.frozen
class Faults:
    """Say which faults are on; shares are of 1, times in seconds.

    ``only_path`` and ``only_workspace`` limit every fault to requests below that
    path or of that workspace. ``flap_s`` turns the faults on and off in turn.
    ``lying_health`` keeps the health endpoint well whatever happens, ``lying_load``
    shows an idle server.
    """

    slow_factor: float = 1.0
    error_share: float = 0.0
    wrong_share: float = 0.0
    cut_share: float = 0.0
    crossed_share: float = 0.0
    silent_share: float = 0.0
    late_s: float = 0.0
    flap_s: float = 0.0
    only_path: str = ""
    only_workspace: str = ""
    lying_health: bool = True
    lying_load: bool = False
    draining: bool = False
    shedding: bool = False

    def edited(self, changes: dict[str, Any]) -> Faults:
        """Return these faults with some of them changed."""
        return msgspec.convert({**attrs.asdict(self), **changes}, Faults)

    def apply_to(self, path: str, workspace: str, now: float) -> bool:
        """Tell whether the faults concern this request at ``now``."""
        if self.flap_s and int(now / self.flap_s) % 2:
            return False
        if self.only_path and not path.startswith(self.only_path):
            return False
        return not self.only_workspace or workspace == self.only_workspace


NO_FAULTS = Faults()


@attrs.frozen
class Course:
    """How one request goes: chosen when it arrives."""

    slow_factor: float = 1.0
    late_s: float = 0.0
    error: bool = False
    wrong: bool = False
    cut: bool = False
    crossed: bool = False
    silent: bool = False


def choose_course(faults: Faults, random: Random) -> Course:
    """Choose how a request that the faults concern goes."""
    return Course(
        slow_factor=faults.slow_factor,
        late_s=faults.late_s,
        error=random.random() < faults.error_share,
        wrong=random.random() < faults.wrong_share,
        cut=random.random() < faults.cut_share,
        crossed=random.random() < faults.crossed_share,
        silent=random.random() < faults.silent_share,
    )
