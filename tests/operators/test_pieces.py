from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gentianhitch.operators import pieces
from gentianhitch.platform.interface import MAX_VALUE_BYTES
from tests.builders_platform import ENVIRONMENT
from tests.builders_platform import make_platform
from tests.builders_platform import run


def make_lines(count: int) -> list[bytes]:
    return [b"%09d " % number + b"x" * 90 + b"\n" for number in range(count)]


def join_tree(tree: pieces.PieceTree) -> bytes:
    values_by_digest = {piece.digest: piece.value for piece in tree.pieces}

    async def fetch(digest: str) -> bytes:
        return values_by_digest[digest]

    return run(pieces.join(tree.root_digest, fetch))


class TestSplit:
    @given(st.lists(st.binary(max_size=20), max_size=600))
    def test_join_restores_any_data(self, parts: list[bytes]) -> None:
        data = b"\n".join(parts)
        assert join_tree(pieces.split(data)) == data

    def test_pieces_stay_below_the_value_limit(self) -> None:
        data = b"".join(make_lines(30_000)) + b"y" * (2 * MAX_VALUE_BYTES)
        tree = pieces.split(data)
        assert join_tree(tree) == data
        assert max(len(piece.value) for piece in tree.pieces) < MAX_VALUE_BYTES

    def test_changed_line_replaces_few_pieces(self) -> None:
        before = make_lines(30_000)
        after = list(before)
        after[15_000:15_001] = [b"changed\n", b"and one more\n"]
        old = set(pieces.split(b"".join(before)).pieces)
        new = set(pieces.split(b"".join(after)).pieces)
        assert len(old) > 200
        assert len(new - old) <= 8


class TestStore:
    def test_round_trip_over_a_megabyte(self) -> None:
        platform = make_platform()
        data = b"".join(make_lines(20_000))
        root = run(pieces.store(platform, ENVIRONMENT, data))
        assert run(pieces.load(platform, ENVIRONMENT, root)) == data

    def test_write_is_retried_after_a_lost_reply(self) -> None:
        platform = make_platform()
        platform.shared.lost_replies = 1
        root = run(pieces.store(platform, ENVIRONMENT, b"a\n"))
        assert run(pieces.load(platform, ENVIRONMENT, root)) == b"a\n"

    def test_outage_raises_pieces_unavailable(self) -> None:
        platform = make_platform()
        platform.shared.outage = True
        with pytest.raises(pieces.PiecesUnavailableError):
            run(pieces.store(platform, ENVIRONMENT, b"a\n"))

    def test_missing_piece_error_names_the_digest(self) -> None:
        with pytest.raises(pieces.MissingPieceError, match="abc"):
            run(pieces.load(make_platform(), ENVIRONMENT, "abc"))

    def test_corrupt_piece_is_refused(self) -> None:
        with pytest.raises(pieces.CorruptPieceError):
            pieces.validate(pieces.digest_of(b"leaf\na"), b"leaf\nb")
