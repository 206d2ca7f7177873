"""Log configuration: structured lines on standard error, as text or JSON."""

from __future__ import annotations

import sys

from loguru import logger

from gentianhitch.settings import LogSettings

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message} {extra}"


def configure(settings: LogSettings, instance: str) -> None:
    """Write all log lines to standard error and add the name of the instance."""
    logger.remove()
    logger.configure(extra={"instance": instance})
    logger.add(
        sys.stderr,
        level=settings.level,
        format=TEXT_FORMAT,
        serialize=settings.format == "json",
        # Tracebacks must not show local variables, which may contain a key.
        diagnose=False,
        backtrace=False,
    )
