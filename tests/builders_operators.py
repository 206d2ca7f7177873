"""Serve the operators' side over a loopback socket for tests."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.web.resource import Resource
from twisted.web.server import Site

from gentianhitch.addresses import Address
from gentianhitch.operators import keys
from gentianhitch.operators.entry_client import EntryClient
from gentianhitch.operators.resource import OperatorsResource
from gentianhitch.platform.memory import MemoryPlatform
from tests.builders_platform import ENVIRONMENT

OPERATOR_KEY = "operator-key-of-the-test"


def serve_operators(platform: MemoryPlatform, in_force: int = 0) -> EntryClient:
    key_hashes = (keys.hash_key("another"), keys.hash_key(OPERATOR_KEY))
    resource = OperatorsResource(platform, ENVIRONMENT, key_hashes, lambda: in_force)
    root, system = Resource(), Resource()
    root.putChild(b".gentianhitch", system)
    system.putChild(b"operators", resource.resource())
    port = reactor.listenTCP(0, Site(root), interface="127.0.0.1")
    address = Address("127.0.0.1", port.getHost().port)
    return EntryClient(reactor, address, OPERATOR_KEY, "ana")
