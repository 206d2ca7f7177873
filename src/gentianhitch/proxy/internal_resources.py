"""What an instance serves to other instances and to those who watch it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianhitch.http_resources import OnePathResource

CONFIGURATION_PATH = "/configuration"
METRICS_PATH = "/metrics"


def configuration_resource(answer: Callable[[Any], bytes]) -> OnePathResource:
    """Return the resource that hands out the configuration."""
    return OnePathResource(CONFIGURATION_PATH, answer)


def metrics_resource(render: Callable[[], bytes]) -> OnePathResource:
    """Return the resource that shows counters and histograms as text."""
    return OnePathResource(METRICS_PATH, lambda _: render())
