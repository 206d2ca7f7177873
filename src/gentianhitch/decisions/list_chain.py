"""The agreed lists that may still be acted upon."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.member_list import MemberList

LISTS_KEPT = 64


@attrs.define(eq=False)
class ListChain:
    """Hold the list of each sequence from the newest one in force on.

    ``previous_by_sequence`` has the list that each one follows; recent lists are
    also kept by key, to read what peers say of them.
    """

    lists_by_sequence: dict[int, MemberList] = attrs.Factory(dict)
    lists_by_key: dict[int, MemberList] = attrs.Factory(dict)
    previous_by_sequence: dict[int, MemberList | None] = attrs.Factory(dict)

    def add(
        self, sequence: int, agreed: MemberList, previous: MemberList | None
    ) -> None:
        """Hold the list of a sequence and the one that it follows."""
        self.lists_by_sequence[sequence] = agreed
        self.previous_by_sequence[sequence] = previous
        self.lists_by_key.pop(agreed.key, None)
        self.lists_by_key[agreed.key] = agreed
        while len(self.lists_by_key) > LISTS_KEPT:
            del self.lists_by_key[next(iter(self.lists_by_key))]

    def drop_before(self, sequence: int) -> None:
        """Drop what came before ``sequence``."""
        for old in [s for s in self.lists_by_sequence if s < sequence]:
            del self.lists_by_sequence[old]
            del self.previous_by_sequence[old]

    def sequences_after(self, sequence: int) -> list[int]:
        """Return the held sequences above ``sequence``, oldest first."""
        return sorted(s for s in self.lists_by_sequence if s > sequence)

    def names(self) -> set[str]:
        """Return every name in a held list."""
        previous = [each for each in self.previous_by_sequence.values() if each]
        return {
            n
            for each in (*self.lists_by_sequence.values(), *previous)
            for n in each.names
        }

    def required_lists(self, sequence: int, in_force: int) -> list[MemberList]:
        """Return every list whose majority must know ``sequence``.

        Those are its own, and each that may still be acted upon, back to the
        newest one in force or one that follows none.
        """
        known = [s for s in self.lists_by_sequence if in_force <= s <= sequence]
        lists_by_key: dict[int, MemberList] = {}
        for each in sorted(known, reverse=True):
            agreed = self.lists_by_sequence[each]
            if agreed.key not in lists_by_key and _ends(lists_by_key):
                break
            lists_by_key.setdefault(agreed.key, agreed)
            previous = self.previous_by_sequence.get(each)
            if previous is not None and not self._is_same(agreed, in_force):
                lists_by_key.setdefault(previous.key, previous)
        return list(lists_by_key.values())

    def _is_same(self, agreed: MemberList, sequence: int) -> bool:
        other = self.lists_by_sequence.get(sequence)
        return other is not None and other.key == agreed.key


def _ends(lists_by_key: dict[int, MemberList]) -> bool:
    return any(agreed.previous_digest is None for agreed in lists_by_key.values())
