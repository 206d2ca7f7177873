"""Keep this instance's entry in the store under a lease."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.store import NO_ERA
from gentianhitch.platform.store import GrantedLease
from gentianhitch.platform.store import KeyValueStore
from gentianhitch.platform.store import LeaseEndedError
from gentianhitch.platform.store_reader import encode_peer
from gentianhitch.platform.store_reader import peer_key
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.model import Peer
from gentianhitch.repeating import Repeating

LEASE_S = 3.0
"""Maximum time for which the directory returns a failed instance."""

STANDBY_LEASE_S = 9.0
"""For instances that the directory doesn't return even if some others fail."""

RENEWALS_PER_LEASE = 3
RENEW_INTERVAL_S = 1.0
MAX_SKIPPED_INTERVALS = 3
"""Maximum of intervals to skip; each consecutive failure adds one, as calls cost."""


class Registration:
    """Holds a lease and the instance's entry, and renews them at an interval.

    The lease is short while ``is_near_serving`` returns True: renewals are charged for,
    and in a large fleet few instances serve.
    """

    def __init__(
        self,
        clock: Any,
        store: KeyValueStore,
        events: Events,
        is_near_serving: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._store = store
        self._events = events
        self._is_near_serving = is_near_serving
        self._lease: GrantedLease | None = None
        self._era = NO_ERA
        self._lease_s = STANDBY_LEASE_S
        self._renewed_s = float("-inf")
        self._is_busy = False
        self._is_leaving = False
        self._is_listed = False
        self._failures = 0
        self._intervals_to_skip = 0
        self._loop = Repeating(clock, RENEW_INTERVAL_S, self._tick, events.failure)

    def start(self, peer: Peer) -> None:
        """Start to register ``peer``, which describes this instance."""
        self._peer = peer
        self._loop.start()

    def register_again(self, era: int) -> None:
        """Register under a new lease: the store has returned from a copy in ``era``."""
        self._era = era
        self._intervals_to_skip = 0
        if not self._is_leaving:
            self._tick()

    def stop(self) -> None:
        """Stop renewing; the entry expires with its lease."""
        self._is_leaving = True
        self._loop.stop()

    async def leave(self) -> None:
        """Stop renewing and remove the entry at once, by ending the lease."""
        self.stop()
        has_lease = self._has_lease()
        lease, self._lease = self._lease, None
        if lease is None or not has_lease:
            return
        try:
            await self._store.end_lease(lease.number)
        except PlatformError as error:
            # The lease expires within LEASE_S.
            self._events.state("lease_not_ended", detail=str(error))

    def _tick(self) -> None:
        if self._intervals_to_skip > 0:
            self._intervals_to_skip -= 1
        elif not self._is_busy and self._is_due():
            self._is_busy = True
            Deferred.fromCoroutine(self._register_or_renew()).addErrback(
                self._events.failure
            )

    def _is_due(self) -> bool:
        if not self._has_lease() or self._needs_shorter_lease():
            return True
        elapsed_s: float = self._clock.seconds() - self._renewed_s
        return elapsed_s >= self._lease_s / RENEWALS_PER_LEASE

    def _has_lease(self) -> bool:
        # The number of a lease of an earlier era may be that of another instance's.
        return self._lease is not None and self._lease.era >= self._era

    def _needs_shorter_lease(self) -> bool:
        return self._lease_s > LEASE_S and self._is_near_serving()

    async def _register_or_renew(self) -> None:
        started_s = self._clock.seconds()
        try:
            lease = self._lease
            if lease is None or not self._has_lease() or self._needs_shorter_lease():
                await self._register()
            else:
                await self._store.renew_lease(lease.number)
            self._renewed_s = started_s
            self._record_listed(is_listed=True)
            self._failures = 0
        except LeaseEndedError:
            self._lease = None
            self._record_listed(is_listed=False, detail="the lease ended")
        except PlatformError as error:
            self._record_listed(is_listed=False, detail=str(error))
            self._intervals_to_skip = min(self._failures, MAX_SKIPPED_INTERVALS)
            self._failures += 1
        finally:
            self._is_busy = False

    async def _register(self) -> None:
        lease_s = LEASE_S if self._is_near_serving() else STANDBY_LEASE_S
        lease = await self._store.grant_lease(lease_s)
        await self._store.put(
            peer_key(self._peer.name), encode_peer(self._peer), lease=lease.number
        )
        if self._is_leaving:
            await self._store.end_lease(lease.number)
        else:
            # An earlier lease holds no key any more and expires.
            self._lease = lease
            self._lease_s = lease_s

    def _record_listed(self, *, is_listed: bool, detail: str = "") -> None:
        if is_listed != self._is_listed:
            self._is_listed = is_listed
            event = "registered" if is_listed else "registration_lost"
            self._events.state(event, detail=detail)
