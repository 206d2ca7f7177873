"""HTTP resources for other instances and for monitoring."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianhitch.http_resources import OnePathResource

CONFIGURATION_PATH = "/configuration"
METRICS_PATH = "/metrics"


def configuration_resource(respond: Callable[[Any], bytes]) -> OnePathResource:
    """Return the resource from which other instances fetch the configuration."""
    return OnePathResource(CONFIGURATION_PATH, respond)


def metrics_resource(render: Callable[[], bytes]) -> OnePathResource:
    """Return the resource that returns the metrics as text."""
    return OnePathResource(METRICS_PATH, lambda _: render())
