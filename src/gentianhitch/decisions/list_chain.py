"""The agreed lists that an instance of the fleet may still act on."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.member_list import MemberList

MAX_LISTS_BY_KEY = 64


@attrs.define(eq=False)
class ListChain:
    """Member lists by sequence, from the newest sequence in force.

    ``previous_by_sequence`` has the predecessor of each list. Recent lists are also
    kept by key, to decode the replies of peers that refer to them.
    """

    lists_by_sequence: dict[int, MemberList] = attrs.Factory(dict)
    lists_by_key: dict[int, MemberList] = attrs.Factory(dict)
    previous_by_sequence: dict[int, MemberList | None] = attrs.Factory(dict)

    def add(
        self, sequence: int, member_list: MemberList, previous: MemberList | None
    ) -> None:
        """Add the list of a sequence and its predecessor."""
        self.lists_by_sequence[sequence] = member_list
        self.previous_by_sequence[sequence] = previous
        self.lists_by_key.pop(member_list.key, None)
        self.lists_by_key[member_list.key] = member_list
        while len(self.lists_by_key) > MAX_LISTS_BY_KEY:
            del self.lists_by_key[next(iter(self.lists_by_key))]

    def drop_before(self, sequence: int) -> None:
        """Remove the lists of sequences before ``sequence``."""
        for old in [s for s in self.lists_by_sequence if s < sequence]:
            del self.lists_by_sequence[old]
            del self.previous_by_sequence[old]

    def sequences_after(self, sequence: int) -> list[int]:
        """Return the sequences above ``sequence``, oldest first."""
        return sorted(s for s in self.lists_by_sequence if s > sequence)

    def names(self) -> set[str]:
        """Return every instance name in the lists and their predecessors."""
        previous = [
            member_list
            for member_list in self.previous_by_sequence.values()
            if member_list
        ]
        return {
            name
            for member_list in (*self.lists_by_sequence.values(), *previous)
            for name in member_list.names
        }

    def required_lists(self, sequence: int, in_force: int) -> list[MemberList]:
        """Return every list of which a majority must know ``sequence``.

        These are its own list and each earlier one that an instance may still act on,
        back to the newest list in force or to a list without a predecessor.
        """
        known = [s for s in self.lists_by_sequence if in_force <= s <= sequence]
        lists_by_key: dict[int, MemberList] = {}
        for candidate in sorted(known, reverse=True):
            member_list = self.lists_by_sequence[candidate]
            if member_list.key not in lists_by_key and _has_first_list(lists_by_key):
                break
            lists_by_key.setdefault(member_list.key, member_list)
            previous = self.previous_by_sequence.get(candidate)
            if previous is not None and not self._is_list_of(member_list, in_force):
                lists_by_key.setdefault(previous.key, previous)
        return list(lists_by_key.values())

    def _is_list_of(self, member_list: MemberList, sequence: int) -> bool:
        other = self.lists_by_sequence.get(sequence)
        return other is not None and other.key == member_list.key


def _has_first_list(lists_by_key: dict[int, MemberList]) -> bool:
    return any(
        member_list.previous_digest is None for member_list in lists_by_key.values()
    )
