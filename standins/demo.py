"""Show the main job: promote a document, send requests, print the answers."""

from __future__ import annotations

import argparse
import json
import signal
import sys
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import attrs

from standins.deployment import ENVIRONMENT
from standins.deployment import Deployment
from standins.deployment import DeploymentError
from standins.deployment import scratch_folder
from standins.deployment import wait_until

WORKSPACE = "north"
FAILURE_DOMAINS = ("d1", "d2", "d3")
TARGETS = 3
SLOTS = 6
CONNECTIONS = 330
ROUTES = {"read": "/stock", "order": "/orders", "open": "/catalogue"}
HTTP_TIMEOUT_S = 10.0
STOP_SIGNALS = {signal.SIGINT, signal.SIGTERM}


@attrs.frozen
class Reply:
    """What a caller saw of one request."""

    status: int
    body: str
    headers: dict[str, str]


def ask(
    address: str,
    path: str,
    *,
    key: str | None = None,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request to an instance."""
    sent = dict(headers or {})
    if key is not None:
        sent["Authorization"] = f"Bearer {key}"
    request = urllib.request.Request(
        f"http://{address}{path}", method=method, data=body, headers=sent
    )
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as answer:
            return Reply(answer.status, answer.read().decode(), dict(answer.headers))
    except urllib.error.HTTPError as error:
        return Reply(error.code, error.read().decode(), dict(error.headers))


def directory(address: str, service: str) -> list[str]:
    """Ask the directory of an instance for the addresses to use."""
    reply = ask(address, f"/.gentianhitch/directory?service={service}")
    addresses: list[str] = json.loads(reply.body).get("addresses", [])
    return addresses


def sample_document(servers: dict[str, list[dict[str, Any]]]) -> dict[str, Any]:
    """Return a document for the stand-in servers of each service."""
    return {
        "environment": ENVIRONMENT,
        "workspaces": [
            {"name": WORKSPACE, "rate": 200, "burst": 400},
            {"name": "south", "rate": 50, "burst": 100},
        ],
        "services": [
            {"name": name, "floor_slots": SLOTS, "deadline_ms": 2000}
            for name in servers
        ],
        "backend_servers": [
            {
                "name": server["name"],
                "address": server["address"],
                "failure_domain": FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
                "service": service,
                "slots": SLOTS,
                "connections": CONNECTIONS,
            }
            for service, listed in servers.items()
            for index, server in enumerate(listed)
        ],
        "routes": [
            _route("GET", ROUTES["read"], "stock", idempotent=True),
            _route("GET", f"{ROUTES['read']}/*", "stock", idempotent=True),
            _route("POST", ROUTES["order"], "orders", idempotent=False),
            _route("GET", ROUTES["open"], "stock", idempotent=True, public=True),
        ],
    }


def _route(
    method: str, path: str, service: str, *, idempotent: bool, public: bool = False
) -> dict[str, Any]:
    return {
        "method": method,
        "path": path,
        "service": service,
        "idempotent": idempotent,
        "open": public,
    }


def start(deployment: Deployment, instances: int = 3) -> dict[str, list[Any]]:
    """Start the stand-ins and ``instances`` entry instances."""
    deployment.start_platform()
    servers = {
        name: deployment.start_backend_servers(name, TARGETS)
        for name in ("stock", "orders")
    }
    for number in range(instances):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        deployment.start_entry(f"entry-{number + 1}", domain)
    return servers


def promote(deployment: Deployment, document: dict[str, Any]) -> None:
    """Put a document to trial and promote it."""
    path = deployment.folder / "document.jsonc"
    path.write_text(json.dumps(document, indent=2))
    tried = run(deployment, "trial", str(path))
    run(deployment, "promote", tried.splitlines()[-1].split()[1])


def give_key(deployment: Deployment, workspace: str) -> str:
    """Give a workspace a key and return it."""
    return run(deployment, "keys", "give", workspace).splitlines()[-1]


def run(deployment: Deployment, *arguments: str) -> str:
    """Run an operators' command and return its output."""
    done = deployment.command(*arguments)
    if done.returncode != 0:
        raise DeploymentError(f"{arguments[0]} failed: {done.stdout}{done.stderr}")
    return done.stdout


def wait_until_served(deployment: Deployment, key: str) -> None:
    """Wait until every instance knows the document and the key."""

    def served() -> bool:
        return all(
            ask(entry, ROUTES["read"], key=key).status == 200
            and len(directory(entry, "stock")) > 0
            for entry in deployment.entries
        )

    wait_until(served, "every instance to serve the promoted document")


def show(deployment: Deployment, key: str) -> None:
    """Send requests as a caller does and print the answers."""
    addresses = directory(deployment.entries[0], "stock")
    print(f"directory for stock: {', '.join(addresses)}")
    order = {"method": "POST", "body": b"two pallets", "key": key}
    for title, reply in (
        ("read", ask(addresses[0], ROUTES["read"], key=key)),
        ("order", ask(addresses[0], ROUTES["order"], **order)),  # type: ignore[arg-type]
        ("open route, no key", ask(addresses[0], ROUTES["open"])),
        ("wrong key", ask(addresses[0], ROUTES["read"], key="wrong")),
        ("unknown route", ask(addresses[0], "/nowhere", key=key)),
    ):
        outcome = reply.headers.get("Gentianhitch-Outcome", "answered")
        print(f"{title}: {reply.status} {outcome} {reply.body.strip()}")


def description(
    deployment: Deployment, servers: dict[str, list[Any]], key: str
) -> dict[str, Any]:
    """Return what ``--hold`` prints."""
    return {
        "entries": deployment.entries,
        "platform": deployment.platform,
        "workspace": WORKSPACE,
        "key": key,
        "routes": ROUTES,
        "backend_servers": [
            server["address"] for listed in servers.values() for server in listed
        ],
        "pids": {
            name: program.pid for name, program in deployment.programs_by_name.items()
        },
        "operator_key_file": str(deployment.operator_key_file),
    }


def main() -> int:
    """Run the demo."""
    parser = argparse.ArgumentParser(prog="scripts/demo", description=__doc__)
    parser.add_argument("--hold", action="store_true", help="run until SIGINT")
    parser.add_argument("--instances", type=int, default=3, help="entry instances")
    options = parser.parse_args()
    with scratch_folder() as folder, Deployment(Path(folder)) as deployment:
        servers = start(deployment, options.instances)
        promote(deployment, sample_document(servers))
        key = give_key(deployment, WORKSPACE)
        wait_until_served(deployment, key)
        if options.hold:
            # Blocked only now: the children must not inherit the mask.
            signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
            print(json.dumps(description(deployment, servers, key)), flush=True)
            signal.sigwait(STOP_SIGNALS)
        else:
            show(deployment, key)
    return 0


if __name__ == "__main__":
    sys.exit(main())
