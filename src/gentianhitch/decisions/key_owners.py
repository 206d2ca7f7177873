"""Assign idempotency keys to members of the agreed list by rendezvous hash."""

from __future__ import annotations

import math

import attrs
import xxhash

from gentianhitch.decisions.idempotency import REPEAT_WINDOW_S
from gentianhitch.decisions.idempotency import KeyOwnership
from gentianhitch.decisions.idempotency import OwnershipStatus
from gentianhitch.decisions.idempotency import key_id
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member

MAX_PEERS_ASKED = 3


@attrs.define
class _Period:
    """A list of candidates and when this instance last saw it active."""

    members: tuple[Member, ...]
    last_active_s: float


@attrs.define
class FleetKeyOwners:
    """Assign a key by rendezvous hash over the members that are not leaving.

    A key that another list gave to another member within the repeat window runs
    only after that member vouched for it. ``_known_since_s`` is the time from
    which this instance has followed every change of the list; without a document
    or without members no key can have run.
    """

    _self_id: InstanceId
    _agreement: AgreedStates
    _periods: list[_Period] = attrs.Factory(list)
    _states: tuple[AgreedState, ...] = ()
    _last_sequence: int | None = None
    _known_since_s: float = math.inf

    def observe(self, now: float) -> None:
        """Follow the agreed list; call it at each change or about once a second."""
        states = self._agreement.active(now)
        # What was active at the last look was so until some time before now.
        self._mark_active(self._states, now)
        if states != self._states:
            self._follow(states, now)
        self._mark_active(states, now)

    def locate(self, workspace: str | None, key: bytes, now: float) -> KeyOwnership:
        """Return where a key of a workspace is remembered."""
        self.observe(now)
        if not self._states:
            return KeyOwnership(OwnershipStatus.MOVED)
        digest = key_id(workspace, key)
        newest = _candidates(self._states[-1])
        member = _highest(newest, digest)
        if member is None:
            return KeyOwnership(OwnershipStatus.MOVED)
        if member.id != self._self_id:
            return KeyOwnership(OwnershipStatus.REMOTE, member.callers)
        if not self._knows_window(now):
            return self._confirm_with_any_peer(newest, digest)
        return self._confirm_with_former_owners(member, digest)

    def confirms_not_run(
        self, workspace: str | None, key: bytes, now: float, *, for_fleet: bool
    ) -> bool:
        """Tell whether a key that is not in this instance's memory did not run."""
        if self.locate(workspace, key, now).status is not OwnershipStatus.REMOTE:
            return False
        if not for_fleet:
            return True
        if not self._knows_window(now):
            return False
        digest = key_id(workspace, key)
        owner = _highest(_candidates(self._states[-1]), digest)
        owners = self._recent_owners(digest)
        return None not in owners and all(
            other.id in (self._self_id, owner.id) for other in owners if other and owner
        )

    def _knows_window(self, now: float) -> bool:
        return now - self._known_since_s > REPEAT_WINDOW_S

    def _recent_owners(self, digest: bytes) -> set[Member | None]:
        """Return each member to which the key belonged within the window."""
        return {_highest(period.members, digest) for period in self._periods}

    def _confirm_with_any_peer(
        self, candidates: tuple[Member, ...], digest: bytes
    ) -> KeyOwnership:
        """Ask members that may have followed the list for longer than this one."""
        others = [member for member in candidates if member.id != self._self_id]
        others.sort(key=lambda member: _weight(member, digest), reverse=True)
        ask = tuple(member.callers for member in others[:MAX_PEERS_ASKED])
        if not ask:
            return KeyOwnership(OwnershipStatus.MOVED)
        return KeyOwnership(
            OwnershipStatus.CONFIRM, peers_to_ask=ask, any_peer_suffices=True
        )

    def _confirm_with_former_owners(
        self, member: Member, digest: bytes
    ) -> KeyOwnership:
        """Ask the members to which the key belonged before it came here."""
        present_by_id = {
            each.id: each for each in self._states[-1].members_by_name.values()
        }
        ask = []
        for other in self._recent_owners(digest):
            if other is None or other.id not in present_by_id:
                return KeyOwnership(OwnershipStatus.MOVED)
            if other.id != member.id:
                ask.append(present_by_id[other.id].callers)
        if not ask:
            return KeyOwnership(OwnershipStatus.LOCAL)
        return KeyOwnership(OwnershipStatus.CONFIRM, peers_to_ask=tuple(sorted(ask)))

    def _follow(self, states: tuple[AgreedState, ...], now: float) -> None:
        for state in states:
            last = self._last_sequence
            if last is None:
                empty = state.document is None or not state.members_by_name
                self._known_since_s = -math.inf if empty else now
            elif state.sequence > last + 1:
                self._known_since_s = now
            if last is None or state.sequence > last:
                self._last_sequence = state.sequence
        self._states = states

    def _mark_active(self, states: tuple[AgreedState, ...], now: float) -> None:
        for state in states:
            if state.document is None or not state.members_by_name:
                continue
            members = _candidates(state)
            for period in self._periods:
                if period.members == members:
                    period.last_active_s = now
                    break
            else:
                self._periods.append(_Period(members, now))
        self._periods = [
            period
            for period in self._periods
            if now - period.last_active_s <= REPEAT_WINDOW_S
        ]


def _candidates(state: AgreedState) -> tuple[Member, ...]:
    return tuple(
        member for member in state.members_by_name.values() if not member.leaving
    )


def _highest(members: tuple[Member, ...], digest: bytes) -> Member | None:
    return max(members, key=lambda member: _weight(member, digest), default=None)


def _weight(member: Member, digest: bytes) -> int:
    text = f"{member.id.name}\0{member.id.incarnation}\0".encode()
    weight: int = xxhash.xxh3_64_intdigest(text + digest)
    return weight
