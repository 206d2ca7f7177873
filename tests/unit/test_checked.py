from __future__ import annotations

import pytest

from gentianhitch import checked
from gentianhitch.addresses import Address
from gentianhitch.settings import Settings

VALID_SETTINGS = """{
  // an entry instance
  "instance": "a", "failure_domain": "d1", "environment": "production",
  "callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "platform": ["127.0.0.1:7000"]
}"""


class TestLoads:
    def test_reads_comments_and_addresses(self) -> None:
        settings = checked.loads(VALID_SETTINGS, Settings, source="s.json")
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
    def test_error_names_the_json_path(self, old: str, new: str, place: str) -> None:
        with pytest.raises(checked.CheckError, match=r"s\.json") as caught:
            checked.loads(
                VALID_SETTINGS.replace(old, new, 1), Settings, source="s.json"
            )
        assert place in str(caught.value)
