"""Reload the settings file when it changes, with or without a signal."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from gentianhitch.platform.node_settings import NodeSettings
from gentianhitch.platform.node_settings import NodeSettingsError
from gentianhitch.platform.node_settings import load_node_settings
from gentianhitch.proxy.events import Events


class SettingsFile:
    """Reloads a settings file; if it is invalid, the earlier settings stay in force."""

    def __init__(
        self, path: Path, events: Events, on_change: Callable[[NodeSettings], None]
    ) -> None:
        self._path = path
        self._events = events
        self._on_change = on_change
        self._last_stamp = _stamp(path)

    def reload_if_changed(self) -> None:
        """Reload the file if it was written since the last read."""
        if _stamp(self._path) != self._last_stamp:
            self.reload()

    def reload(self) -> None:
        """Reload the file and log whether it is valid."""
        self._last_stamp = _stamp(self._path)
        try:
            settings = load_node_settings(self._path)
        except NodeSettingsError as error:
            self._events.state("reload_failed", detail=str(error))
            return
        self._on_change(settings)
        self._events.state("reloaded")


def _stamp(path: Path) -> tuple[int, int]:
    """Return the modification time and inode; zeros if the file can't be read."""
    try:
        status = path.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_ino)
