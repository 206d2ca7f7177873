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
    """Candidates for ownership, and when they were last in the active state."""

    members: tuple[Member, ...]
    last_active_s: float


@attrs.define
class FleetKeyOwners:
    """Assigns each key to a member that is not leaving, by rendezvous hash.

    A key that belonged to another member within the repeat window runs only after
    that member confirmed that it did not run there. ``_followed_since_s`` is the time
    since which this instance has followed every change of the agreed list. While a
    state has no document or no members, no key can have run.
    """

    _own_id: InstanceId
    _agreement: AgreedStates
    _periods: list[_Period] = attrs.Factory(list)
    _states: tuple[AgreedState, ...] = ()
    _last_sequence: int | None = None
    _followed_since_s: float = math.inf

    def observe(self, now: float) -> None:
        """Read the active states; call it at each change and about once a second."""
        states = self._agreement.active(now)
        # States of the last call may have been active until just before now.
        self._update_periods(self._states, now)
        if states != self._states:
            self._follow(states, now)
        self._update_periods(states, now)

    def locate(self, workspace: str | None, key: bytes, now: float) -> KeyOwnership:
        """Return who owns a key of a workspace."""
        self.observe(now)
        if not self._states:
            return KeyOwnership(OwnershipStatus.MOVED)
        digest = key_id(workspace, key)
        candidates = _candidates(self._states[-1])
        owner = _owner_of(candidates, digest)
        if owner is None:
            return KeyOwnership(OwnershipStatus.MOVED)
        if owner.id != self._own_id:
            return KeyOwnership(OwnershipStatus.REMOTE, owner.callers)
        if not self._has_followed_window(now):
            return self._confirm_with_any_peer(candidates, digest)
        return self._confirm_with_former_owners(owner, digest)

    def confirms_not_run(
        self, workspace: str | None, key: bytes, now: float, *, for_fleet: bool
    ) -> bool:
        """Return whether a key without a local record certainly did not run."""
        if self.locate(workspace, key, now).status is not OwnershipStatus.REMOTE:
            return False
        if not for_fleet:
            return True
        if not self._has_followed_window(now):
            return False
        digest = key_id(workspace, key)
        owner = _owner_of(_candidates(self._states[-1]), digest)
        owners = self._recent_owners(digest)
        return None not in owners and all(
            other.id in (self._own_id, owner.id) for other in owners if other and owner
        )

    def _has_followed_window(self, now: float) -> bool:
        return now - self._followed_since_s > REPEAT_WINDOW_S

    def _recent_owners(self, digest: bytes) -> set[Member | None]:
        """Return each member that owned the key within the repeat window."""
        return {_owner_of(period.members, digest) for period in self._periods}

    def _confirm_with_any_peer(
        self, candidates: tuple[Member, ...], digest: bytes
    ) -> KeyOwnership:
        """Require confirmation by a peer that may have followed the list for longer."""
        others = [member for member in candidates if member.id != self._own_id]
        others.sort(key=lambda member: _score(member, digest), reverse=True)
        peers = tuple(member.callers for member in others[:MAX_PEERS_ASKED])
        if not peers:
            return KeyOwnership(OwnershipStatus.MOVED)
        return KeyOwnership(
            OwnershipStatus.CONFIRM, peers_to_ask=peers, any_peer_suffices=True
        )

    def _confirm_with_former_owners(self, owner: Member, digest: bytes) -> KeyOwnership:
        """Require confirmation by the members that owned the key before this one."""
        present_by_id = {
            present.id: present for present in self._states[-1].members_by_name.values()
        }
        former_owners = []
        for other in self._recent_owners(digest):
            if other is None or other.id not in present_by_id:
                return KeyOwnership(OwnershipStatus.MOVED)
            if other.id != owner.id:
                former_owners.append(present_by_id[other.id].callers)
        if not former_owners:
            return KeyOwnership(OwnershipStatus.LOCAL)
        return KeyOwnership(
            OwnershipStatus.CONFIRM, peers_to_ask=tuple(sorted(former_owners))
        )

    def _follow(self, states: tuple[AgreedState, ...], now: float) -> None:
        for state in states:
            last = self._last_sequence
            if last is None:
                is_empty = state.document is None or not state.members_by_name
                self._followed_since_s = -math.inf if is_empty else now
            elif state.sequence > last + 1:
                self._followed_since_s = now
            if last is None or state.sequence > last:
                self._last_sequence = state.sequence
        self._states = states

    def _update_periods(self, states: tuple[AgreedState, ...], now: float) -> None:
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


def _owner_of(members: tuple[Member, ...], digest: bytes) -> Member | None:
    return max(members, key=lambda member: _score(member, digest), default=None)


def _score(member: Member, digest: bytes) -> int:
    text = f"{member.id.name}\0{member.id.incarnation}\0".encode()
    score: int = xxhash.xxh3_64_intdigest(text + digest)
    return score
