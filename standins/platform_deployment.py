"""Start a deployment on the users' platform: stand-ins and proxies as processes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import urllib.error
from pathlib import Path
from typing import Any

import attrs

from gentianhitch.platform import wire_names
from standins.deployment import STOP_TIMEOUT_S
from standins.deployment import DeploymentError
from standins.deployment import call
from standins.deployment import wait_until

ZONES = ("d1", "d2", "d3")
MEMORY_MB = 200
"""The least of the deployments' instances."""

HOST = "shop.example"
KEY = "key-north-1"
WORKSPACE = "north"
EVACUATION_S = 5.0
WARMUP_S = 3.0
WARMUP_PER_S = 6.5
WARMUP_OVERSHOOT = 1.5
WARMUP_SLACK = 8
MOST_WHILE_COLD = WARMUP_PER_S * WARMUP_OVERSHOOT + WARMUP_SLACK
"""Requests that a cold server takes in any one second."""

ROUTES = {"read": "/stock/", "order": "/orders/", "open": "/catalogue/"}


def make_document(version: int, keys: tuple[str, ...] = (KEY,)) -> dict[str, Any]:
    """Return a configuration with three routes and one workspace."""
    rules = [
        {
            "name": name,
            "type": "unsafe" if name == "order" else "safe",
            "objectiveLatencyMs": 500,
            "priority": 1,
            "public": name == "open",
            "match": {"prefix": prefix},
            "action": {
                "service": "orders" if name == "order" else "stock",
                "timeoutMs": 2000,
                "attempts": 3,
            },
        }
        for name, prefix in ROUTES.items()
    ]
    return {
        "version": version,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": WORKSPACE, "apiKeys": list(keys), "ratePerS": 50, "burst": 50}
        ],
        "listeners": [{"hostname": HOST, "rules": rules}],
        "clusters": [
            {
                "name": name,
                "healthCheckPath": "/health",
                "maxConnections": 100,
                "warmupS": WARMUP_S,
                "warmupPerS": WARMUP_PER_S,
            }
            for name in ("stock", "orders")
        ],
    }


@attrs.define
class Proxy:
    """One proxy process; it writes its log to a file, from ``log_start`` on."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    log_start: int = 0

    def events(self, kind: str) -> list[dict[str, Any]]:
        """Return the log lines of one kind so far."""
        lines = self.log.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [event for event in events if event["event"] == kind]

    @property
    def addresses(self) -> dict[str, str]:
        """Return where it listens since its last start."""
        event: dict[str, str] = self.events("listening")[-1]
        return event

    def output(self) -> str:
        """Return what this process has written."""
        return self.log.read_text()[self.log_start :]

    @property
    def peak_memory_mb(self) -> float:
        """Return the most resident memory it has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (each for each in status.splitlines() if each.startswith("VmHWM"))
        return int(line.split()[1]) / 1000

    def stop(self) -> int:
        """Ask it to stop and return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_TIMEOUT_S)


@attrs.define
class PlatformDeployment:
    """Hold the processes of one deployment; use it as a context manager."""

    folder: Path
    server_arguments: tuple[str, ...] = ()
    store: str = ""
    servers_by_id: dict[str, str] = attrs.Factory(dict)
    links_by_server: dict[str, str] = attrs.Factory(dict)
    zones_by_server: dict[str, str] = attrs.Factory(dict)
    proxies: list[Proxy] = attrs.Factory(list)
    _standins: list[subprocess.Popen[str]] = attrs.Factory(list)

    def __enter__(self) -> PlatformDeployment:
        self.store = self.start_standin("standins.key_value_store")["address"]
        for service in ("stock", "orders"):
            ready = self.start_standin(
                "standins.platform_server",
                *("--store", self.store, "--service", service),
                *self.server_arguments,
            )
            self.servers_by_id.update(ready["addresses"])
            self.links_by_server.update(ready["listed"])
            self.zones_by_server.update(ready["zones"])
        self.configure(make_document(1))
        return self

    def __exit__(self, *exc_info: object) -> None:
        for proxy in self.proxies:
            if proxy.process.poll() is None:
                proxy.process.kill()
                proxy.process.wait()
        for process in self._standins:
            process.kill()
            process.wait()

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration as the operator does."""
        call("PUT", self.store, "/admin/item?key=op/config", document)

    def evacuate(self, zone: str) -> None:
        """Evacuate a failure domain as the operator does."""
        call("PUT", self.store, f"/admin/item?key=op/evacuate/{zone}", {})

    def cancel_evacuation(self, zone: str) -> None:
        """Cancel the evacuation of a failure domain."""
        call("DELETE", self.store, f"/admin/item?key=op/evacuate/{zone}")

    def servers_in(self, zone: str) -> list[str]:
        """Return the servers of a failure domain."""
        return [
            server for server, where in self.zones_by_server.items() if where == zone
        ]

    def arrivals(self, server: str) -> list[dict[str, Any]]:
        """Return every request that reached a server, refused ones included."""
        found: list[dict[str, Any]] = call(
            "GET", self.servers_by_id[server], "/admin/arrivals"
        )
        return found

    def set_store_fault(self, **fault: Any) -> None:
        """Switch faults of the store."""
        call("PUT", self.store, "/admin/faults", fault)

    def return_store(self, age_s: float, away_s: float) -> None:
        """Have the store be away for a time and return from a copy of this age."""
        ages = f"age_ms={age_s * 1000:.0f}&away_ms={away_s * 1000:.0f}"
        call("PUT", self.store, f"/admin/return?{ages}")

    def set_server_fault(self, server: str, kind: str) -> None:
        """Switch a fault of one server."""
        call("PUT", self.servers_by_id[server], f"/admin/fault?kind={kind}")

    def start_proxies(self, count: int = 3) -> None:
        """Start proxies in turn over the zones and wait until they are ready."""
        for number in range(count):
            self.proxies.append(self.start_proxy(f"proxy-{number}", ZONES[number % 3]))
        for proxy in self.proxies:
            wait_until(lambda proxy=proxy: self._is_ready(proxy), f"{proxy.name} ready")  # type: ignore[misc]

    def _is_ready(self, proxy: Proxy) -> bool:
        if proxy.process.poll() is not None:
            raise DeploymentError(
                f"{proxy.name} ended: {proxy.log.read_text()[-2000:]}"
            )
        if not proxy.events("listening"):
            return False
        try:
            call("GET", proxy.addresses["readiness"], wire_names.READINESS_PATH)
        except urllib.error.URLError:
            return False
        return len(self._peers_known(proxy)) > 0

    def _peers_known(self, proxy: Proxy) -> list[dict[str, Any]]:
        expected = len(self.proxies)
        changes = proxy.events("listing_changed")
        return [event for event in changes if event["peers"] == expected]

    def store_address(self, proxy: str) -> str:
        """Return where a proxy finds the store."""
        return self.store

    def write_node_settings(self, name: str, zone: str) -> Path:
        """Write the settings file of a proxy and return its path."""
        path = self.folder / f"{name}.json"
        settings = _node_settings(name, zone, self.store_address(name))
        path.write_text(json.dumps(settings))
        return path

    def start_proxy(self, name: str, zone: str) -> Proxy:
        """Start one proxy; the log of an earlier one of that name goes on."""
        settings = self.write_node_settings(name, zone)
        log = self.folder / f"{name}.log"
        log.touch()
        log_start = len(log.read_text())
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "gentianhitch.proxy"],
                env={**os.environ, wire_names.SETTINGS_VARIABLE: str(settings)},
                stdout=output,
                stderr=output,
            )
        return Proxy(name, process, log, log_start)

    def start_standin(self, module: str, *arguments: str) -> dict[str, Any]:
        """Start a stand-in and return what it announces."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self._standins.append(process)
        assert process.stdout is not None
        line = process.stdout.readline()
        if not line:
            raise DeploymentError(f"{module} did not start")
        ready: dict[str, Any] = json.loads(line)
        return ready


def _node_settings(name: str, zone: str, store: str) -> dict[str, Any]:
    own = "127.0.0.1:0"
    return {
        "self": {
            "nodeName": name,
            "zone": zone,
            "region": "r",
            "ipAddress": "127.0.0.1",
            "limits": {"cpuShare": 1.0, "cpuCores": 1, "memoryMb": MEMORY_MB},
        },
        "network": {
            "listenAddresses": {"frontend": own, "ready": own, "directory": own},
            "internalPortRange": [0, 0],
        },
        "provider": {"heartbeatIntervalMs": 500, "provider": {"address": store}},
        "terms": {
            "bounds": {
                "revocationMs": 3000,
                "drainMs": 2000,
                "graceS": 6,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 60,
                "budgetWindowS": 10,
                "ttl_max_s": 5,
                "quotaWindowS": 5,
                "quotaOvershoot": 0.1,
                "quotaSlack": 20,
                "evacuationMs": EVACUATION_S * 1000,
                "warmupOvershoot": WARMUP_OVERSHOOT,
                "warmupSlack": WARMUP_SLACK,
            }
        },
    }
