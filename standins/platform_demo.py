"""Show the proxy on the users' platform: start, send requests, print the answers."""

from __future__ import annotations

import sys
from http.client import HTTPConnection
from pathlib import Path

import attrs

from gentianhitch.platform import wire_names
from standins.deployment import call
from standins.deployment import scratch_folder
from standins.platform_deployment import HOST
from standins.platform_deployment import KEY
from standins.platform_deployment import ZONES
from standins.platform_deployment import PlatformDeployment

TIMEOUT_S = 10.0
REMAINING_MS = "4000"


@attrs.frozen
class Shown:
    """One request of the demo."""

    what: str
    method: str
    path: str
    key: str | None


REQUESTS = (
    Shown("a read", "GET", "/stock/7", KEY),
    Shown("an order", "POST", "/orders/1", KEY),
    Shown("a route open to all", "GET", "/catalogue/posts", None),
    Shown("an unknown key", "GET", "/stock/7", "nobody"),
)


def ask(address: str, shown: Shown, request_id: str) -> str:
    """Send one request and return its status and body as one line."""
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    headers = {
        "Host": HOST,
        wire_names.REQUEST_ID.decode(): request_id,
        wire_names.REMAINING_MS.decode(): REMAINING_MS,
    }
    if shown.key is not None:
        headers["Authorization"] = f"Bearer {shown.key}"
    connection.request(shown.method, shown.path, headers=headers)
    answer = connection.getresponse()
    line = f"{answer.status} {answer.read().decode()}"
    connection.close()
    return line


def main() -> int:
    """Run the demo and return its exit code."""
    with scratch_folder() as folder, PlatformDeployment(Path(folder)) as deployment:
        print("starting a store, six backend servers and three proxies", flush=True)
        deployment.start_proxies(len(ZONES))
        first = deployment.proxies[0].addresses
        path = f"{wire_names.RESOLVE_PATH}?name={HOST}&zone={ZONES[0]}"
        addresses = call("GET", first["directory"], path)["addresses"]
        print(f"the directory names {', '.join(addresses)}")
        for number, shown in enumerate(REQUESTS):
            print(f"{shown.what}: {ask(addresses[0], shown, f'demo-{number}')}")
        codes = [proxy.stop() for proxy in deployment.proxies]
        print(f"all proxies stopped with exit codes {codes}")
        return max(codes)


if __name__ == "__main__":
    sys.exit(main())
