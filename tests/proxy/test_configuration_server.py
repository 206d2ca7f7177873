from __future__ import annotations

import json

from twisted.internet.task import Clock

from gentianhitch.instances.configuration_transfer import decode_busy
from gentianhitch.instances.configuration_transfer import decode_transfer
from gentianhitch.instances.configuration_transfer import decompress
from gentianhitch.proxy.configuration_server import KEPT_REVISIONS
from gentianhitch.proxy.configuration_server import ConfigurationServer
from gentianhitch.proxy.model import StoredConfiguration
from tests.builders_deployment import make_document
from tests.builders_proxy import at
from tests.builders_proxy import make_configuration

SLOW_LINK_MBPS = 0.2
FAST_LINK_MBPS = 1000.0


class FakeRequest:
    """A request of another instance."""

    def __init__(self, receiver: str, base: int = 0, era: int | None = None) -> None:
        self.args = {b"for": [receiver.encode()], b"base": [b"%d" % base]}
        if era is not None:
            self.args[b"era"] = [b"%d" % era]
        self.status = 200

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        self.status = status


def make_stored(revision: int) -> StoredConfiguration:
    document = make_document(revision, 200)
    return StoredConfiguration(
        at(revision), json.dumps(document).encode(), make_configuration()
    )


def make_source(
    link_mbps: float, *revisions: int, clock: Clock | None = None
) -> ConfigurationServer:
    source = ConfigurationServer(
        clock or Clock(), link_mbps, lambda: 0.5, lambda *counted: None
    )
    for revision in revisions:
        source.publish(make_stored(revision))
    return source


class TestDeltas:
    def test_a_receiver_without_a_base_gets_the_complete_configuration(self) -> None:
        source = make_source(FAST_LINK_MBPS, 5)
        transfer = decode_transfer(source.respond(FakeRequest("e-1")))
        assert (transfer.revision, transfer.base_revision) == (5, 0)
        assert decompress(transfer.compressed, b"") == make_stored(5).encoded

    # Guards against a delta that is applied to another configuration, which had the
    # same revision before the store returned from a copy.
    def test_a_base_of_another_era_is_not_used(self) -> None:
        source = make_source(FAST_LINK_MBPS, 5, 9)
        transfer = decode_transfer(source.respond(FakeRequest("e-1", 5, era=1)))
        assert transfer.base_revision == 0
        assert decompress(transfer.compressed, b"") == make_stored(9).encoded

    def test_a_receiver_with_a_known_base_gets_a_delta(self) -> None:
        source = make_source(FAST_LINK_MBPS, 5, 9)
        transfer = decode_transfer(source.respond(FakeRequest("e-1", 5)))
        assert (transfer.revision, transfer.base_revision) == (9, 5)
        base = make_stored(5).encoded
        assert decompress(transfer.compressed, base) == make_stored(9).encoded
        assert len(transfer.compressed) < len(base) / 100

    def test_a_receiver_far_behind_gets_the_complete_configuration(self) -> None:
        revisions = range(1, KEPT_REVISIONS + 2)
        source = make_source(FAST_LINK_MBPS, *revisions)
        transfer = decode_transfer(source.respond(FakeRequest("e-1", 1)))
        assert transfer.base_revision == 0

    def test_responds_404_before_the_first_configuration(self) -> None:
        request = FakeRequest("e-1")
        assert make_source(FAST_LINK_MBPS).respond(request) == b""
        assert request.status == 404


class TestBusyLink:
    # Guards against concurrent transfers that slow each other down until all fail.
    def test_a_busy_link_refers_receivers_to_another_holder(self) -> None:
        clock = Clock()
        source = make_source(SLOW_LINK_MBPS, 5, clock=clock)
        first, second, third = (FakeRequest(f"e-{n}") for n in range(3))
        sent = source.respond(first)
        assert decode_busy(source.respond(second)).holder == ""
        assert (first.status, second.status) == (200, 503)
        clock.advance(len(sent) / (SLOW_LINK_MBPS * 125_000))
        source.respond(third)
        assert third.status == 200
        assert decode_busy(source.respond(second)).holder == "e-0"

    # Guards against a configuration that exceeds the limit alone and is never sent.
    def test_a_large_configuration_is_sent_over_an_idle_slow_link(self) -> None:
        source = make_source(SLOW_LINK_MBPS / 100, 5)
        request = FakeRequest("e-0")
        source.respond(request)
        assert request.status == 200

    def test_holders_are_named_in_turn(self) -> None:
        clock = Clock()
        source = make_source(SLOW_LINK_MBPS, 5, clock=clock)
        for number in range(3):
            source.respond(FakeRequest(f"e-{number}"))
            clock.advance(1.0)
        source.respond(FakeRequest("e-3"))
        named = {decode_busy(source.respond(FakeRequest("e-4"))).holder for _ in "abc"}
        assert named == {"e-0", "e-1", "e-2"}

    def test_a_fast_link_serves_many_transfers_at_once(self) -> None:
        source = make_source(FAST_LINK_MBPS, 5)
        requests = [FakeRequest(f"e-{number}") for number in range(30)]
        for request in requests:
            source.respond(request)
        assert {request.status for request in requests} == {200}

    def test_holders_of_an_older_configuration_are_not_named(self) -> None:
        clock = Clock()
        source = make_source(SLOW_LINK_MBPS, 5, clock=clock)
        source.respond(FakeRequest("e-0"))
        clock.advance(1.0)
        source.publish(make_stored(9))
        source.respond(FakeRequest("e-1"))
        assert decode_busy(source.respond(FakeRequest("e-2"))).holder == ""
