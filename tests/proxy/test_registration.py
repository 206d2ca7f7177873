from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianhitch.platform.interface import UnavailableError
from gentianhitch.platform.store import GrantedLease
from gentianhitch.proxy.registration import LEASE_S
from gentianhitch.proxy.registration import RENEW_INTERVAL_S
from gentianhitch.proxy.registration import STANDBY_LEASE_S
from gentianhitch.proxy.registration import Registration
from tests.builders_proxy import make_peer


class _Store:
    def __init__(self) -> None:
        self.refuses = False
        self.calls: list[str] = []
        self.leases_s: list[float] = []
        self.ended: list[int] = []
        self.era = 0

    async def _record_call(self, name: str) -> None:
        self.calls.append(name)
        if self.refuses:
            raise UnavailableError("status 503")

    async def grant_lease(self, ttl_s: float) -> GrantedLease:
        self.leases_s.append(ttl_s)
        await self._record_call("grant")
        return GrantedLease(7 + len(self.leases_s), self.era)

    async def put(self, key: str, value: bytes, *, lease: int) -> None:
        await self._record_call("put")

    async def renew_lease(self, lease: int) -> None:
        await self._record_call("renew")

    async def end_lease(self, lease: int) -> None:
        self.ended.append(lease)


class _Events:
    def state(self, event: str, **inputs: Any) -> None:
        pass

    def failure(self, failure: Any) -> None:
        raise failure.value


def start(is_near_serving: Callable[[], bool] = lambda: True) -> tuple[Clock, _Store]:
    clock, store, _ = start_registration(is_near_serving)
    return clock, store


def start_registration(
    is_near_serving: Callable[[], bool] = lambda: True,
) -> tuple[Clock, _Store, Registration]:
    clock, store = Clock(), _Store()
    registration = Registration(clock, store, _Events(), is_near_serving)  # type: ignore[arg-type]
    registration.start(make_peer("e-1"))
    return clock, store, registration


class TestRenewal:
    def test_registers_once_and_renews_at_each_interval(self) -> None:
        clock, store = start()
        clock.pump([RENEW_INTERVAL_S] * 3)
        assert store.calls == ["grant", "put", "renew", "renew", "renew"]

    def test_calls_less_often_while_the_store_refuses(self) -> None:
        # Guards against charges for refused calls, one per second and instance.
        clock, store = start()
        store.refuses = True
        store.calls.clear()
        clock.pump([RENEW_INTERVAL_S] * 20)
        assert len(store.calls) <= 8

    def test_a_failed_renewal_is_retried_at_the_next_interval(self) -> None:
        clock, store = start()
        store.refuses = True
        clock.pump([RENEW_INTERVAL_S])
        store.refuses = False
        store.calls.clear()
        clock.pump([RENEW_INTERVAL_S])
        assert store.calls == ["renew"]


class TestStandby:
    """Pattern: hundreds of instances of which few serve; renewals are charged for."""

    def test_an_instance_that_would_not_serve_renews_less_often(self) -> None:
        clock, store = start(lambda: False)
        clock.pump([RENEW_INTERVAL_S] * 30)
        assert store.leases_s == [STANDBY_LEASE_S]
        assert 9 <= store.calls.count("renew") <= 11

    def test_an_instance_that_comes_near_serving_gets_a_short_lease(self) -> None:
        near: list[bool] = []
        clock, store = start(lambda: bool(near))
        clock.pump([RENEW_INTERVAL_S] * 2)
        near.append(True)
        clock.pump([RENEW_INTERVAL_S] * 4)
        assert store.leases_s == [STANDBY_LEASE_S, LEASE_S]
        assert store.calls == ["grant", "put", "grant", "put", *["renew"] * 3]


class TestReturnFromACopy:
    """Pattern: the store has lost leases, and gives their numbers out again."""

    def test_registers_at_once(self) -> None:
        clock, store, registration = start_registration()
        store.calls.clear()
        store.era = 1
        registration.register_again(1)
        assert store.calls == ["grant", "put"]
        clock.pump([RENEW_INTERVAL_S])
        assert store.calls == ["grant", "put", "renew"]

    # Guards against another instance's lease being renewed or ended by its number.
    def test_an_earlier_lease_is_neither_renewed_nor_ended(self) -> None:
        clock, store, registration = start_registration()
        store.calls.clear()
        store.refuses = True
        registration.register_again(1)
        clock.pump([RENEW_INTERVAL_S] * 4)
        Deferred.fromCoroutine(registration.leave())
        assert "renew" not in store.calls
        assert store.ended == []

    def test_a_lease_that_an_earlier_era_granted_late_is_replaced(self) -> None:
        clock, store, registration = start_registration()
        registration.register_again(1)
        store.calls.clear()
        store.era = 1
        clock.pump([RENEW_INTERVAL_S])
        assert store.calls == ["grant", "put"]

    def test_an_instance_that_leaves_does_not_register(self) -> None:
        _, store, registration = start_registration()
        Deferred.fromCoroutine(registration.leave())
        store.calls.clear()
        registration.register_again(1)
        assert store.calls == []
