"""The faults of one soak: what may strike, and how each ends."""

from __future__ import annotations

import signal
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from standins.deployment import call
from standins.fault_soak.deployment import SoakDeployment

SHORT_S = (0.5, 2.5)
STORE_FAULTS: tuple[dict[str, Any], ...] = (
    {"outage": "busy"},
    {"outage": "many"},
    {"outage": "reset"},
    {"outage": "silent"},
    {"slow_ms": 300},
    {"lost_answers": 5},
)
STORE_WELL: dict[str, Any] = {"outage": "none", "slow_ms": 0, "lost_answers": 0}
LINK_MODES = ("silent", "no-requests", "no-answers", "refuse")
SERVER_FAULTS = ("errors", "hang", "decline")
ANSWER_FAULTS = ("repeat", "cut-head", "busy")
"""Take the place of every second server fault, so that seeds keep their choices."""
RETURN_EACH = 2
"""A return from a copy takes the place of every second fault of the store."""

COPY_AGE_SHARE = 2.0
AWAY_SHARE = 0.4
"""Of the time that the fault which it replaces would last."""
BROKEN_SETTINGS_SHARE = 0.5
SIGNALLED_SHARE = 0.5


@attrs.frozen
class Fault:
    """One fault: a line for the log, how long it lasts, how it begins and ends.

    ``cuts_off`` tells whether an instance may be out of touch with the store;
    ``stopped`` is the address of an instance that is told to stop, ``paused`` of one
    that is paused.
    """

    what: str
    for_s: float
    begin: Callable[[], None]
    end: Callable[[], None]
    cuts_off: bool = True
    stopped: str = ""
    paused: str = ""


def nothing() -> None:
    """End a fault that ends by itself."""


@attrs.define
class FaultPlan:
    """Choose faults at random; what a seed chooses, it chooses again."""

    deployment: SoakDeployment
    random: Random
    _server_faults: int = 0
    _store_faults: int = 0

    def choose(self) -> Fault:
        """Return the next fault."""
        kinds = (
            self._pause,
            self._kill,
            self._terminate,
            self._kill_half,
            self._change_settings,
            self._store,
            self._cut_from_store,
            self._harm_store_connections,
            self._server,
            self._cut_server,
            self._harm_server_connections,
        )
        return self.random.choice(kinds)()

    def _duration(self) -> float:
        return self.random.uniform(*SHORT_S)

    def _proxy(self) -> int:
        return self.random.randrange(len(self.deployment.proxies))

    def _server_id(self) -> str:
        return self.random.choice(sorted(self.deployment.servers_by_id))

    def _signal(self, number: int, sent: signal.Signals) -> Callable[[], None]:
        return lambda: self.deployment.send_signal(number, sent)

    def _pause(self) -> Fault:
        number = self._proxy()
        return Fault(
            f"pause proxy-{number}",
            self._duration(),
            self._signal(number, signal.SIGSTOP),
            self._signal(number, signal.SIGCONT),
            paused=self.deployment.proxies[number].addresses["callers"],
        )

    def _kill(self) -> Fault:
        number = self._proxy()
        return Fault(
            f"kill proxy-{number}",
            self._duration(),
            self._signal(number, signal.SIGKILL),
            lambda: self._start_again(number),
        )

    def _terminate(self) -> Fault:
        number = self._proxy()

        def begin() -> None:
            # A paused process can't leave in time.
            self.deployment.send_signal(number, signal.SIGCONT)
            self.deployment.send_signal(number, signal.SIGTERM)

        return Fault(
            f"terminate proxy-{number}",
            self._duration(),
            begin,
            lambda: self._start_again(number),
            stopped=self.deployment.proxies[number].addresses["callers"],
        )

    def _kill_half(self) -> Fault:
        numbers = range(len(self.deployment.proxies))
        chosen = self.random.sample(numbers, len(numbers) // 2)

        def begin() -> None:
            for number in chosen:
                self.deployment.send_signal(number, signal.SIGKILL)

        def end() -> None:
            for number in chosen:
                self._start_again(number)

        return Fault(f"kill proxies {sorted(chosen)}", self._duration(), begin, end)

    def _change_settings(self) -> Fault:
        number = self._proxy()
        broken = self.random.random() < BROKEN_SETTINGS_SHARE
        signalled = self.random.random() < SIGNALLED_SHARE

        def begin() -> None:
            self.deployment.write_settings(number, broken=broken)
            if signalled:
                self.deployment.send_signal(number, signal.SIGHUP)

        def end() -> None:
            self.deployment.write_settings(number, broken=False)
            # One that started meanwhile ended; the platform starts it again.
            if self.deployment.proxies[number].process.poll() is not None:
                self._start_again(number)

        return Fault(
            f"settings of proxy-{number}{' broken' if broken else ''}",
            self._duration(),
            begin,
            end,
            cuts_off=False,
        )

    def _start_again(self, number: int) -> None:
        deployment = self.deployment
        deployment.send_signal(number, signal.SIGCONT)
        # Two faults may end the same process: whoever comes first starts it again.
        if deployment.is_ending(number):
            deployment.restart(number)

    def _store(self) -> Fault:
        fault, for_s = self.random.choice(STORE_FAULTS), self._duration()
        self._store_faults += 1
        if self._store_faults % RETURN_EACH == 1:
            return self._return_store(for_s * COPY_AGE_SHARE, for_s * AWAY_SHARE)
        return Fault(
            f"store {fault}",
            for_s,
            lambda: self.deployment.set_store_fault(**fault),
            lambda: self.deployment.set_store_fault(**STORE_WELL),
        )

    def _return_store(self, age_s: float, away_s: float) -> Fault:
        return Fault(
            f"store returns from a copy of {age_s:.1f} s",
            away_s,
            lambda: self.deployment.return_store(age_s, away_s),
            nothing,
        )

    def _link(self, what: str, address: str, *, cuts_off: bool) -> Fault:
        mode = self.random.choice((*LINK_MODES, "slow"))
        delay_ms = self.random.randrange(50, 400) if mode == "slow" else 0
        changed = "open" if mode == "slow" else mode
        return Fault(
            f"{what} {mode}",
            self._duration(),
            lambda: self.deployment.set_link(address, changed, delay_ms),
            lambda: self.deployment.set_link(address, "open"),
            cuts_off,
        )

    def _cut_from_store(self) -> Fault:
        name = self.deployment.proxies[self._proxy()].name
        return self._link(
            f"{name} to store", self.deployment.links_by_proxy[name], cuts_off=True
        )

    def _cut_server(self) -> Fault:
        server = self._server_id()
        link = self.deployment.links_by_server[server]
        return self._link(f"to {server}", link, cuts_off=False)

    def _harm(self, what: str, address: str) -> Fault:
        how = self.random.choice(("reset", "silence"))
        return Fault(
            f"{how} connections {what}",
            0.0,
            lambda: self.deployment.harm_link(address, how),
            nothing,
        )

    def _harm_store_connections(self) -> Fault:
        name = self.deployment.proxies[self._proxy()].name
        return self._harm(f"{name} to store", self.deployment.links_by_proxy[name])

    def _harm_server_connections(self) -> Fault:
        server = self._server_id()
        return self._harm(f"to {server}", self.deployment.links_by_server[server])

    def _server(self) -> Fault:
        server = self._server_id()
        kind = self.random.choice(SERVER_FAULTS)
        self._server_faults += 1
        if self._server_faults % 2 == 0:
            kind = ANSWER_FAULTS[self._server_faults // 2 % len(ANSWER_FAULTS)]
        address = self.deployment.servers_by_id[server]

        def switch(fault: str) -> Callable[[], None]:
            return lambda: call("PUT", address, f"/admin/fault?kind={fault}")

        return Fault(
            f"{server} {kind}", self._duration(), switch(kind), switch("none"), False
        )
