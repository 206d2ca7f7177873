"""Only the platform's package knows the names of the users' platform."""

from __future__ import annotations

import re
from pathlib import Path

SOURCES = Path(__file__).parents[2] / "src" / "gentianhitch"
WIRE_NAMES = re.compile(
    r"X-Gentianhitch-|apiKeys|ratePerS|warmupRemainingMs|sequenceNumber|trafficSplit"
    r"|hasMore|kv-(key|txn|range|watch|keep|lease)|listenAddresses|internalPortRange"
    r"|timeoutMs|objectiveLatencyMs|healthCheckPath|hostname\b|/v1/re(adiness|solve)"
    r"|GENTIANHITCH_NODE_FILE|op/config|\bservers/|graceS|revocationMs"
    r"|op/evacuate|evacuationMs|warmupS\b|warmupPerS|warmupOvershoot|warmupSlack"
)


def test_wire_names_stay_in_the_platform_package() -> None:
    found = [
        f"{path.relative_to(SOURCES)}: {match.group()}"
        for path in sorted(SOURCES.rglob("*.py"))
        if path.parent.name != "platform"
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert found == []
