from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.probing import MAX_PROBES_PER_ROUND
from gentianhitch.backend_servers.probing import Health
from gentianhitch.backend_servers.probing import ProbeError
from gentianhitch.backend_servers.probing import Prober
from gentianhitch.backend_servers.probing import read_health
from gentianhitch.decisions.targets.availability import COLD_S
from gentianhitch.decisions.targets.availability import TargetAvailability
from tests.builders_targets import document


class TestProber:
    def setup_method(self) -> None:
        self.clock = Clock()
        self.availability = TargetAvailability()
        self.probes: list[tuple[Address, Deferred[Health]]] = []
        self.targets = document(targets=2).backend_servers
        self.prober = Prober(
            self.fetch, lambda: self.targets, self.availability, self.clock
        )

    def fetch(self, address: Address) -> Deferred[Health]:
        done: Deferred[Health] = Deferred()
        self.probes.append((address, done))
        return done

    def test_draining_and_cold_responses_update_availability(self) -> None:
        self.prober.probe()
        self.probes[0][1].callback(Health("draining"))
        self.probes[1][1].callback(Health("serving", cold=True))
        assert self.availability.is_leaving("t0", 0.0)
        assert self.availability.has_cold_grace("t1", 0.0)
        assert not self.availability.is_leaving("t1", 0.0)

    def test_unresponsive_target_has_one_probe_at_a_time_and_is_not_leaving(
        self,
    ) -> None:
        for _ in range(3):
            self.prober.probe()
        assert len(self.probes) == 2
        self.probes[0][1].errback(ProbeError("no response"))
        self.prober.probe()
        assert len(self.probes) == 3
        assert not self.availability.is_leaving("t0", 0.0)

    def test_targets_beyond_one_round_are_probed_in_the_next(self) -> None:
        self.targets = document(targets=MAX_PROBES_PER_ROUND + 10).backend_servers
        for _ in range(2):
            self.prober.probe()
        assert len({address for address, _ in self.probes}) == len(self.targets)

    def test_target_that_always_reports_cold_gets_a_bounded_grace(self) -> None:
        for second in range(30):
            self.availability.mark_cold("t0", float(second))
        assert not self.availability.has_cold_grace("t0", COLD_S + 1)
        assert self.availability.reports_cold("t0", COLD_S + 1)


class TestReadHealth:
    @pytest.mark.parametrize("data", [b"", b"{}", b'{"state": "well"}', b"x" * 5000])
    def test_malformed_response_is_refused(self, data: bytes) -> None:
        with pytest.raises(ProbeError):
            read_health(data)
