"""Guards against rights that only some of the active states grant."""

from __future__ import annotations

import pytest

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.routing import RoutingIndex
from gentianhitch.decisions.routing import RoutingTable
from gentianhitch.operators.document import Route
from tests.builders_path import KEY
from tests.builders_path import build_document


def build_route(path, **options):
    return Route("GET", path, "stock", **{"idempotent": True, **options})


def build_routing(*documents):
    routing = RoutingTable()
    routing.update(
        tuple(AgreedState(n, {}, document) for n, document in enumerate(documents))
    )
    return routing


class TestRoutingIndex:
    @pytest.mark.parametrize(
        ("path", "expected"),
        [
            ("/a", "/a"),
            ("/a/b", "/a/*"),
            ("/a/b/c", "/a/b/*"),
            ("/a/b/c/d", "/a/b/*"),
            ("/a/b/exact", "/a/b/exact"),
            ("/ab", "/*"),
            ("/", "/*"),
        ],
    )
    def test_exact_match_precedes_longest_prefix(self, path, expected):
        paths = ("/a", "/a/*", "/a/b/*", "/a/b/exact", "/*")
        document = build_document(routes=tuple(build_route(each) for each in paths))
        index = RoutingIndex.from_document(document)
        assert index.find_route("GET", path).path == expected
        assert index.find_route("POST", path) is None


class TestRoutingTable:
    def test_route_right_requires_every_state(self):
        # Guards against rights that only some of the fresh instances grant.
        closed = build_document(routes=(build_route("/a", idempotent=False),))
        opened = build_document(routes=(build_route("/a", open=True),))
        for documents in ((closed, opened), (opened, closed)):
            matched = build_routing(*documents).match("GET", "/a")
            assert not matched.open
            assert not matched.idempotent
        assert build_routing(opened).match("GET", "/a").open

    def test_key_requires_every_state(self):
        with_key, without = build_document(), build_document(keys=())
        assert build_routing(with_key).authorise(KEY) == "nord"
        assert build_routing(with_key, without).authorise(KEY) is None
        assert build_routing(without, with_key).authorise(KEY) is None

    def test_state_without_document_grants_no_rights(self):
        # Guards against routes of an earlier document that stay in use.
        routing = build_routing(build_document())
        routing.update((AgreedState(1, {}, None),))
        assert routing.match("GET", "/stock/1") is None
        assert routing.authorise(KEY) is None
