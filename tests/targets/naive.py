"""Naive ways to eject, which the invariants must catch."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random

import attrs

from gentianhitch.decisions.interfaces import Agreement
from gentianhitch.decisions.targets.detector import Detector
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.service_view import POOR_SCORE
from gentianhitch.decisions.targets.service_view import ServiceView
from gentianhitch.decisions.targets.setting import Setting
from gentianhitch.decisions.targets.steward import Send
from gentianhitch.decisions.targets.steward import Steward
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport


class AloneView(ServiceView):
    def ejected(self, now: float) -> frozenset[Scope]:
        return frozenset(s for s, _ in self.evidence.scores(POOR_SCORE, now))


class AloneDetector(Detector):
    """Let each instance eject on its own evidence."""

    def view(self, service: str) -> ServiceView:
        if service not in self._views_by_service:
            view = AloneView(service, self.hints, self._random)
            self._views_by_service[service] = view
        return super().view(service)


class HastySteward(Steward):
    """Grant at once after becoming leader."""

    def wait_s(self) -> float:
        return 0.0


class ForgetfulSteward(Steward):
    """Grant at once, and vote at once after a restart."""

    def __init__(
        self, service: str, me: InstanceId, send: Send, counts: Counter[str], now: float
    ) -> None:
        super().__init__(service, me, send, counts, now)
        self._voter._vote_until = now

    def wait_s(self) -> float:
        return 0.0


class NewestSetDetector(Detector):
    """Ask only the stewards of the newest list."""

    def _update(self, now: float) -> None:
        before = self._settings_by_service
        super()._update(now)
        if self._settings_by_service is not before:
            self._settings_by_service = {
                service: _newest(setting)
                for service, setting in self._settings_by_service.items()
            }


def _newest(setting: Setting) -> Setting:
    return attrs.evolve(setting, steward_sets=setting.steward_sets[-1:])


def with_steward(
    steward: type[Steward],
    agreement: Agreement,
    me: InstanceId,
    transport: Transport,
    random: Random,
    now: float,
) -> Detector:
    return Detector(agreement, me, transport, random, now, steward)


alone = AloneDetector
hasty = partial(with_steward, HastySteward)
forgetful = partial(with_steward, ForgetfulSteward)
newest_set = NewestSetDetector
