"""Choose the instances to which a report is sent, and which of them forward it.

Bytes between failure domains are charged for, so that one copy of each report crosses
to each other domain. The receiver there changes with each report: the failure of one
costs only some reports, until its own reports are missed.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable

import attrs

from gentianhitch.proxy.model import Peer


@attrs.frozen
class ReportTargets:
    """The receivers of one report: ``direct`` ones, and those that forward it."""

    direct: tuple[Peer, ...]
    forwarding: tuple[Peer, ...]


@attrs.define
class ReportRoutes:
    """Select the receivers of each report; ``failure_domain`` is that of the sender."""

    name: str
    failure_domain: str
    _next_by_domain: dict[str, int] = attrs.Factory(dict)

    def select(self, receivers: Iterable[Peer], heard: Container[str]) -> ReportTargets:
        """Return who gets the next report.

        ``heard`` has the names of instances whose own reports arrive: in a domain where
        there are such, only these forward reports.
        """
        direct: list[Peer] = []
        by_domain: dict[str, list[Peer]] = {}
        for peer in receivers:
            if peer.name == self.name:
                continue
            if peer.failure_domain == self.failure_domain:
                direct.append(peer)
            else:
                by_domain.setdefault(peer.failure_domain, []).append(peer)
        forwarding = []
        for domain, peers in by_domain.items():
            if len(peers) == 1:
                direct += peers
                continue
            heard_peers = [peer for peer in peers if peer.name in heard] or peers
            turn = self._next_by_domain.get(domain, 0)
            self._next_by_domain[domain] = turn + 1
            forwarding.append(heard_peers[turn % len(heard_peers)])
        return ReportTargets(tuple(direct), tuple(forwarding))
