from __future__ import annotations

import json

import pytest

from gentianhitch.platform.configuration import MalformedConfigurationError
from gentianhitch.platform.configuration import decode_configuration

DOCUMENT = {
    "version": 7,
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1024,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "north",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "ratePerS": 30,
            "burst": 31,
        }
    ],
    "listeners": [
        {
            "hostname": "Shop.example",
            "rules": [
                {
                    "name": "r-1",
                    "type": "safe",
                    "objectiveLatencyMs": 2000,
                    "priority": 2,
                    "public": False,
                    "match": {"prefix": "/a/"},
                    "action": {
                        "trafficSplit": [
                            {"service": "one", "weight": 90},
                            {"service": "two", "weight": 10},
                        ],
                        "timeoutMs": 5000,
                        "attempts": 2,
                    },
                },
                {
                    "name": "r-2",
                    "type": "unsafe",
                    "public": True,
                    "match": {"prefix": "/a/b/"},
                    "action": {"service": "one"},
                },
            ],
        }
    ],
    "clusters": [
        {"name": "one", "healthCheckPath": "/health", "maxConnections": 330},
    ],
}


def decode(document: object) -> object:
    return decode_configuration(json.dumps(document).encode())


class TestDecode:
    def test_route_with_the_longest_prefix_matches(self) -> None:
        configuration = decode_configuration(json.dumps(DOCUMENT).encode())
        route = configuration.find_route("shop.example", "/a/b/c")
        assert route is not None
        assert (route.name, route.idempotent, route.public) == ("r-2", False, True)
        assert route.timeout_s is None
        assert configuration.find_route("shop.example", "/x/") is None
        assert configuration.find_route("other.example", "/a/") is None

    def test_decodes_splits_limits_and_workspaces(self) -> None:
        configuration = decode_configuration(json.dumps(DOCUMENT).encode())
        route = configuration.find_route("shop.example", "/a/x")
        assert route is not None
        weights = [(split.service, split.weight) for split in route.destinations]
        assert weights == [("one", 90), ("two", 10)]
        assert (route.timeout_s, route.objective_s) == (5.0, 2.0)
        workspace = configuration.workspaces_by_key["k2"]
        assert (workspace.name, workspace.rate_per_s, workspace.burst) == (
            "north",
            30,
            31,
        )
        assert configuration.limits.max_body_bytes == 1024

    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({}, (0.0, 0.0)),
            ({"warmupS": 3, "warmupPerS": 6.5}, (3.0, 6.5)),
            ({"warmupS": None, "warmupPerS": None}, (0.0, 0.0)),
            ({"warmupS": -1, "warmupPerS": -0.5}, (0.0, 0.0)),
        ],
    )
    def test_decodes_what_cold_servers_take(
        self, fields: dict[str, object], expected: tuple[float, float]
    ) -> None:
        document = {**DOCUMENT, "clusters": [{"name": "one", **fields}]}
        configuration = decode_configuration(json.dumps(document).encode())
        service = configuration.services_by_name["one"]
        assert (service.warmup_s, service.warmup_rate_per_s) == expected

    # Guards against routes that are open to all once no tenant has a key.
    @pytest.mark.parametrize("tenants", [[], [{"name": "north", "apiKeys": []}]])
    def test_a_key_is_required_though_no_tenant_has_one(self, tenants: object) -> None:
        document = {**DOCUMENT, "tenants": tenants}
        configuration = decode_configuration(json.dumps(document).encode())
        assert configuration.requires_key
        assert not configuration.workspaces_by_key

    def test_no_key_is_required_without_tenants(self) -> None:
        document = {k: v for k, v in DOCUMENT.items() if k != "tenants"}
        assert not decode_configuration(json.dumps(document).encode()).requires_key

    # Guards against a quota that is spent again: the admissions of a tenant were
    # forgotten while it had no key.
    def test_a_tenant_without_keys_is_still_known(self) -> None:
        document = {**DOCUMENT, "tenants": [{"name": "north", "ratePerS": 30}]}
        configuration = decode_configuration(json.dumps(document).encode())
        assert configuration.workspaces_by_name["north"].rate_per_s == 30

    def test_unknown_fields_are_ignored(self) -> None:
        assert decode({**DOCUMENT, "novelty": [1]})

    @pytest.mark.parametrize(
        "broken",
        [
            {"listeners": []},
            {**DOCUMENT, "version": "seven"},
            {
                "version": 1,
                "listeners": [
                    {
                        "hostname": "h",
                        "rules": [
                            {
                                "name": "r",
                                "type": "safe",
                                "match": {"prefix": "/"},
                                "action": {},
                            }
                        ],
                    }
                ],
            },
        ],
    )
    def test_malformed_configuration_is_rejected(self, broken: object) -> None:
        with pytest.raises(MalformedConfigurationError):
            decode(broken)
