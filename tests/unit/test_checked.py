from __future__ import annotations

import pytest

from gentianhitch import checked
from gentianhitch.addresses import Address
from gentianhitch.settings import Settings

GOOD = """{
  // an entry instance
  "instance": "a", "failure_domain": "d1", "environment": "production",
  "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "platform": ["127.0.0.1:7000"]
}"""


class TestLoads:
    def test_reads_comments_and_addresses(self) -> None:
        settings = checked.loads(GOOD, Settings, source="s.json")
        assert settings.callers == Address("127.0.0.1", 0)
        assert settings.platform == (Address("127.0.0.1", 7000),)

    @pytest.mark.parametrize(
        ("old", "new", "place"),
        [
            ('"instance"', '"instnce"', "$.instnce"),
            ('"a"', "7", "$.instance"),
            ('["127.0.0.1:7000"]', '["localhost:7"]', "$.platform[0]"),
            ('["127.0.0.1:7000"]', '["127.0.0.1:70000"]', "$.platform[0]"),
            ("{", '{"logs": {"lvl": 1},', "$.logs.lvl"),
            ("{", "", "not JSON"),
        ],
    )
    def test_names_the_place_of_a_fault(self, old: str, new: str, place: str) -> None:
        with pytest.raises(checked.CheckError, match=r"s\.json") as caught:
            checked.loads(GOOD.replace(old, new, 1), Settings, source="s.json")
        assert place in str(caught.value)
