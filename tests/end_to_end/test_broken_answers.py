"""Real proxies in front of servers whose answers are broken."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gentianhitch.platform import wire_names
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import make_document
from standins.platform_server import BROKEN_BODY
from standins.platform_server import BROKEN_HEADS
from standins.raw_http import RawAnswer
from standins.raw_http import read_answer
from tests.builders_raw_callers import READ_TIMEOUT_S
from tests.builders_raw_callers import encode_order

ROOT = Path(__file__).parents[2]
UPLOADS = 60
UPLOAD_BYTES = 8_000_000
AT_ONCE_S = 1.0
"""Half of the route's timeout."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Any]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    with PlatformDeployment(tmp_path, ("--count", "1")) as running:
        document = make_document(2)
        document["tenants"][0] |= {"ratePerS": 0, "burst": 0}
        document["limits"]["maxBodyBytes"] = 2 * UPLOAD_BYTES
        running.configure(document)
        running.start_proxies(1)
        yield running


def place_order(deployment: Any, request_id: str, body: str = "a pallet") -> RawAnswer:
    """Place an order on a new connection and return its answer."""
    host, _, port = deployment.proxies[0].addresses["callers"].rpartition(":")
    with socket.create_connection((host, int(port)), READ_TIMEOUT_S) as connection:
        connection.sendall(encode_order(request_id, body=body))
        return read_answer(connection, bytearray())


class TestResetAmidUpload:
    def test_a_part_of_an_answer_is_no_answer(self, deployment: Any) -> None:
        deployment.set_server_fault("orders-0", "reset-upload")
        body = "x" * UPLOAD_BYTES
        answers = [
            place_order(deployment, f"o-{number}", body) for number in range(UPLOADS)
        ]
        assert {answer.status for answer in answers} <= {502, 503, 504}
        assert not any(answer.header(wire_names.SIGNATURE) for answer in answers)
        deployment.set_server_fault("orders-0", "none")
        answer = place_order(deployment, "o-sound", "a pallet")
        assert (answer.status, b"a pallet" in answer.body) == (200, True)


class TestBrokenHeads:
    @pytest.mark.parametrize("kind", BROKEN_HEADS)
    def test_an_order_fails_at_once(self, deployment: Any, kind: str) -> None:
        deployment.set_server_fault("orders-0", kind)
        began_s = time.monotonic()
        answer = place_order(deployment, "o-broken")
        assert (answer.status, answer.header(wire_names.SIGNATURE)) == (502, None)
        assert BROKEN_BODY not in answer.body
        assert time.monotonic() - began_s < AT_ONCE_S
        deployment.set_server_fault("orders-0", "none")
        assert place_order(deployment, "o-sound").status == 200
