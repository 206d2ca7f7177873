from __future__ import annotations

import socket

from gentianhitch.addresses import Address
from gentianhitch.metrics import MAX_HISTOGRAMS
from gentianhitch.metrics import Metrics


class TestMetrics:
    def test_counts_are_sent_to_statsd(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            metrics = Metrics(Address("127.0.0.1", server.getsockname()[1]))
            metrics.count("requests.a:b")
            assert server.recv(100) == b"gentianhitch.requests.a_b:1|c"

    def test_summary_is_in_milliseconds(self) -> None:
        metrics = Metrics()
        metrics.time("total", "north", 0.25)
        (summary,) = metrics.summaries()
        assert (summary.workspace, summary.count) == ("north", 1)
        assert 245 <= summary.milliseconds_by_percentile["p99"] <= 255

    def test_number_of_histograms_is_bounded(self) -> None:
        metrics = Metrics()
        for number in range(MAX_HISTOGRAMS + 10):
            metrics.time("total", f"w{number}", 0.001)
        assert len(metrics.summaries()) == MAX_HISTOGRAMS
