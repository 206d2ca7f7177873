"""The deployment of a soak: proxies and servers behind links that can be harmed."""

from __future__ import annotations

import json
import signal
import subprocess
from typing import Any

import attrs

from gentianhitch.errors import ExitCode
from gentianhitch.platform import wire_names
from standins.deployment import STOP_TIMEOUT_S
from standins.deployment import DeploymentError
from standins.deployment import call
from standins.platform_deployment import KEY
from standins.platform_deployment import WORKSPACE
from standins.platform_deployment import ZONES
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import Proxy
from standins.platform_deployment import make_document

SMALL_WORKSPACE = "south"
SMALL_KEY = "key-south-1"
SMALL_RATE_PER_S = 4
SMALL_BURST = 4
FILES = "files"
FILES_SERVERS = 4
FILES_TIMEOUT_S = 10.0
"""Longer than any pause of a caller or of a backend server."""

FILES_ROUTES = {"download": "/downloads/", "upload": "/uploads/"}


@attrs.define
class SoakDeployment(PlatformDeployment):
    """Hold the processes of one soak; it ends only what it started."""

    links: str = ""
    files_by_id: dict[str, str] = attrs.Factory(dict)
    links_by_proxy: dict[str, str] = attrs.Factory(dict)
    version: int = 1
    keys: list[str] = attrs.Factory(lambda: [KEY])
    extra_routes: list[str] = attrs.Factory(list)
    bad_exits: list[str] = attrs.Factory(list)
    broken_settings: set[str] = attrs.Factory(set)
    _ending: set[int] = attrs.Factory(set)

    def __enter__(self) -> SoakDeployment:
        self.links = self.start_standin("standins.faulty_links")["address"]
        self.server_arguments = (
            *("--links", self.links, "--work-ms", "40"),
            *("--zones", ",".join(ZONES)),
        )
        super().__enter__()
        self.files_by_id = self.start_standin(
            "standins.platform_server",
            *("--store", self.store, "--service", FILES, "--work-ms", "40"),
            *("--count", str(FILES_SERVERS), "--buffer-bytes", "16384"),
        )["addresses"]
        self.publish()
        return self

    def store_address(self, proxy: str) -> str:
        """Return the link through which a proxy reaches the store."""
        if proxy not in self.links_by_proxy:
            path = f"/links?target={self.store}"
            self.links_by_proxy[proxy] = call("POST", self.links, path)["address"]
        return self.links_by_proxy[proxy]

    def publish(self) -> None:
        """Write the next configuration; the store's answer acknowledges it."""
        self.version += 1
        document = make_document(self.version, tuple(self.keys))
        document["tenants"].append(
            {
                "name": SMALL_WORKSPACE,
                "apiKeys": [SMALL_KEY],
                "ratePerS": SMALL_RATE_PER_S,
                "burst": SMALL_BURST,
            }
        )
        document["tenants"][0].update({"name": WORKSPACE, "ratePerS": 0, "burst": 0})
        rules = document["listeners"][0]["rules"]
        document["clusters"].append({**document["clusters"][0], "name": FILES})
        action = {
            **rules[0]["action"],
            "service": FILES,
            "timeoutMs": int(FILES_TIMEOUT_S * 1000),
        }
        for name, prefix in FILES_ROUTES.items():
            kind = "unsafe" if name == "upload" else "safe"
            rules.append(
                {
                    **rules[0],
                    "name": name,
                    "type": kind,
                    "match": {"prefix": prefix},
                    "action": action,
                }
            )
        for prefix in self.extra_routes:
            rules.append({**rules[0], "name": prefix, "match": {"prefix": prefix}})
        self.configure(document)

    def set_link(self, address: str, mode: str, delay_ms: int = 0) -> None:
        """Change how a link behaves."""
        path = f"/links?address={address}&mode={mode}&delay_ms={delay_ms}"
        call("PUT", self.links, path)

    def harm_link(self, address: str, how: str) -> None:
        """Reset or silence the open connections of a link."""
        call("PUT", self.links, f"/harm?address={address}&how={how}")

    def send_signal(self, number: int, sent: signal.Signals) -> None:
        """Send a signal to one proxy that still runs."""
        process = self.proxies[number].process
        if process.poll() is None:
            process.send_signal(sent)
            if sent in (signal.SIGKILL, signal.SIGTERM):
                self._ending.add(process.pid)

    def is_ending(self, number: int) -> bool:
        """Tell whether a proxy was told to end, or ended by itself."""
        process = self.proxies[number].process
        return process.pid in self._ending or process.poll() is not None

    def restart(self, number: int) -> None:
        """Wait for a stopped proxy and start it again."""
        old = self.proxies[number]
        try:
            code = old.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.bad_exits.append(f"EXIT {old.name} did not end")
            old.process.kill()
            code = old.process.wait()
        if not self._may_end(old, code):
            self.bad_exits.append(f"EXIT {old.name} ended with {code}")
        self.proxies[number] = self.start_proxy(old.name, ZONES[number % len(ZONES)])

    def _may_end(self, proxy: Proxy, code: int) -> bool:
        output = proxy.output()
        if code == -signal.SIGTERM:
            # The interpreter itself was still starting.
            return not output
        if code == ExitCode.USAGE:
            return proxy.name in self.broken_settings and "cannot read" in output
        return code in (ExitCode.OK, -signal.SIGKILL)

    def write_settings(self, number: int, *, broken: bool) -> None:
        """Write the settings file of a proxy anew, whole or cut short."""
        name = self.proxies[number].name
        path = self.write_node_settings(name, ZONES[number % len(ZONES)])
        if broken:
            self.broken_settings.add(name)
            text = path.read_text()
            path.write_text(text[: len(text) // 2])

    def runs(self) -> list[dict[str, Any]]:
        """Return every request that a server began to work on."""
        return [
            run
            for address in self._server_addresses()
            for run in call("GET", address, "/admin/runs")
        ]

    def reached(self) -> set[str]:
        """Return the requests whose heads reached a server."""
        return {
            request
            for address in self._server_addresses()
            for request in call("GET", address, "/admin/reached")
        }

    def _server_addresses(self) -> list[str]:
        return [*self.servers_by_id.values(), *self.files_by_id.values()]

    def arrivals_by_server(self) -> dict[str, list[dict[str, Any]]]:
        """Return every request that reached a server, refused ones included."""
        return {
            server: call("GET", address, "/admin/arrivals")
            for server, address in self.servers_by_id.items()
        }

    def resolve(self, proxy: Proxy) -> list[str]:
        """Return the addresses that a proxy tells callers to use; none if it fails."""
        try:
            directory = proxy.addresses["directory"]
            path = f"{wire_names.RESOLVE_PATH}?name=x&zone={ZONES[0]}"
            answer: dict[str, list[str]] = call("GET", directory, path)
        except (DeploymentError, OSError, json.JSONDecodeError, IndexError):
            return []
        return answer["addresses"]
