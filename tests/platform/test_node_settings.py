from __future__ import annotations

import json
from pathlib import Path

import pytest

from gentianhitch.errors import ExitCode
from gentianhitch.platform.node_settings import DEFAULT_EVACUATION_S
from gentianhitch.platform.node_settings import NodeSettingsError
from gentianhitch.platform.node_settings import decode_node_settings
from gentianhitch.platform.node_settings import load_node_settings
from gentianhitch.proxy.warmup import WarmupBounds
from tests.builders_platform import make_raw_node_settings


class TestDecoding:
    def test_decodes_addresses_and_bounds(self) -> None:
        settings = decode_node_settings(make_raw_node_settings())
        assert str(settings.internal) == "10.1.0.24:7100"
        assert str(settings.metrics) == "10.1.0.24:7101"
        assert settings.heartbeat_s == 1.5
        assert settings.bounds.revocation_s == 5.0
        assert settings.bounds.shutdown_grace_s == 6.0

    def test_bound_of_evacuations_is_optional(self) -> None:
        raw = make_raw_node_settings()
        assert decode_node_settings(raw).bounds.evacuation_s == DEFAULT_EVACUATION_S
        raw["terms"]["bounds"]["evacuationMs"] = 4000
        assert decode_node_settings(raw).bounds.evacuation_s == 4.0

    def test_bounds_for_cold_servers_hold_only_together(self) -> None:
        raw = make_raw_node_settings()
        assert decode_node_settings(raw).bounds.warmup is None
        raw["terms"]["bounds"]["warmupOvershoot"] = 1.5
        assert decode_node_settings(raw).bounds.warmup is None
        raw["terms"]["bounds"]["warmupSlack"] = 8
        assert decode_node_settings(raw).bounds.warmup == WarmupBounds(1.5, 8.0)

    def test_capacity_is_cpu_share_times_cores(self) -> None:
        assert decode_node_settings(make_raw_node_settings()).capacity == 1.5

    def test_capacity_defaults_to_one_core_without_limits(self) -> None:
        raw = make_raw_node_settings()
        del raw["self"]["limits"]
        assert decode_node_settings(raw).capacity == 1.0

    def test_unknown_fields_are_ignored(self) -> None:
        raw = make_raw_node_settings()
        raw["self"]["colour"] = "blue"
        raw["weather"] = {}
        assert decode_node_settings(raw) == decode_node_settings(
            make_raw_node_settings()
        )

    @pytest.mark.parametrize(
        ("contracts", "expected"),
        [
            (["pressure"], True),
            (["uploads", "pressure"], True),
            ({"pressure": {}}, True),
            (["uploads"], False),
            (["pressures", 7], False),
            ([], False),
            (None, False),
        ],
    )
    def test_the_contract_on_pressure(self, contracts: object, expected: bool) -> None:
        raw = make_raw_node_settings()
        assert not decode_node_settings(raw).expects_pressure
        raw["terms"]["contracts"] = contracts
        assert decode_node_settings(raw).expects_pressure is expected


class TestErrors:
    @pytest.mark.parametrize(
        ("place", "name", "value", "named"),
        [
            ("self", "nodeName", None, "settings.self.nodeName"),
            ("self", "zone", 7, "settings.self.zone"),
            ("self", "limits", {"cpuShare": "all"}, "settings.self.limits.cpuShare"),
            ("network", "internalPortRange", [7100, 7100], "internalPortRange"),
            ("provider", "heartbeatIntervalMs", "often", "heartbeatIntervalMs"),
        ],
    )
    def test_error_names_the_field(
        self, place: str, name: str, value: object, named: str
    ) -> None:
        raw = make_raw_node_settings()
        if value is None:
            del raw[place][name]
        else:
            raw[place][name] = value
        with pytest.raises(NodeSettingsError, match=named):
            decode_node_settings(raw)

    def test_missing_file_is_a_usage_error(self, tmp_path: Path) -> None:
        with pytest.raises(NodeSettingsError, match="cannot read") as raised:
            load_node_settings(tmp_path / "node.json")
        assert raised.value.exit_code == ExitCode.USAGE

    def test_invalid_json_is_a_usage_error(self, tmp_path: Path) -> None:
        path = tmp_path / "node.json"
        path.write_text(json.dumps(make_raw_node_settings())[:-5])
        with pytest.raises(NodeSettingsError, match="cannot read"):
            load_node_settings(path)
