"""A store that returns from a copy, through separate processes."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterator
from http.client import HTTPConnection
from pathlib import Path

import pytest

from gentianhitch.platform import wire_names
from standins.platform_deployment import HOST
from standins.platform_deployment import KEY
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import make_document

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 5.0
COPY_AGE_S = 8.0
AWAY_S = 0.5
CONTACT_S = 3.0
APPLY_S = 2.0
"""Bounds of the deployments of the incident."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[PlatformDeployment]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    with PlatformDeployment(tmp_path) as running:
        running.start_proxies(6)
        yield running


def read(address: str, path: str) -> tuple[int, str]:
    """Send one read; return its status and the service that ran it."""
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    headers = {
        "Host": HOST,
        wire_names.REQUEST_ID.decode(): f"r-{time.monotonic_ns()}",
        wire_names.REMAINING_MS.decode(): "3000",
        "Authorization": f"Bearer {KEY}",
    }
    connection.request("GET", path, headers=headers)
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    ran = json.loads(body)["server"] if answer.status == 200 else ""
    return answer.status, ran.partition("-")[0]


def configure(deployment: PlatformDeployment, version: int, service: str) -> None:
    """Move the route of reads to a service, and add a route of this version."""
    document = make_document(version)
    rules = document["listeners"][0]["rules"]
    rules[0]["action"]["service"] = service
    added = {**rules[0], "name": "added", "match": {"prefix": f"/added-{version}/"}}
    rules.append(added)
    deployment.configure(document)


class TestNewConfiguration:
    # Guards against requests that are run by the service of an older version, or find
    # no added route, after a store that returned from a copy has confirmed the change.
    def test_requests_follow_it(self, deployment) -> None:
        time.sleep(COPY_AGE_S)
        for version in (2, 3):
            configure(deployment, version, "stock")
            time.sleep(1.0)
        deployment.return_store(COPY_AGE_S, AWAY_S)
        time.sleep(AWAY_S + CONTACT_S)
        configure(deployment, 4, "orders")
        time.sleep(APPLY_S)
        addresses = [each.addresses["callers"] for each in deployment.proxies]
        for route in ("/stock/1", "/added-4/1"):
            assert [read(each, route) for each in addresses] == [
                (200, "orders") for _ in addresses
            ]
