"""All keys of the tenants are withdrawn: no request with a key may run any more."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import lab

REVOCATION_S = lab.BOUNDS["revocationMs"] / 1000
REVOKE_GAP_S = 1.5
KEYS = {"cuka620": "nn2ctnfzs989anu6wsjn", "brem114": "q7x0tk2m5v8d1hsw3zpa"}
NEVER_A_KEY = "zzzzzzzzzzzzzzzzzzzz"
REQUESTS = (("GET", "/stock/2"), ("POST", "/order/2"))


async def ask(
    record: lab.Record, port: int, key: str, method: str, path: str
) -> tuple[str, int]:
    """Send one request on a new connection; return its id and status."""
    request = lab.new_id()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    record.write("sent", request=request, key=key, method=method, path=path)
    writer.write(lab.encode(request, path, key, method))
    start, _, _ = await asyncio.wait_for(lab.read_message(reader), 12)
    writer.close()
    status = int(start.split(" ")[1])
    record.write("answered", request=request, status=status)
    return request, status


async def check_keys_in_force(deployment: lab.Lab) -> None:
    """Check that keys are enforced before any of them is withdrawn."""
    for proxy in deployment.proxies:
        for key, expected in (
            *((key, 200) for key in KEYS.values()),
            (NEVER_A_KEY, 401),
        ):
            _, status = await ask(
                deployment.record, proxy.front, key, "GET", "/stock/1"
            )
            if status != expected:
                raise lab.CannotRunError(f"key {key} got {status}, not {expected}")


async def withdraw_keys(deployment: lab.Lab) -> float:
    """Withdraw one tenant's key after the other; return the last acknowledgement."""
    keys = {name: [key] for name, key in KEYS.items()}
    for number, name in enumerate(KEYS):
        await asyncio.sleep(REVOKE_GAP_S)
        if lab.TROUBLE:
            keys[name] = []
        tenants = [lab.tenant(name, *keys[name]) for name in keys]
        deployment.store.configure(lab.make_document(14 + 3 * number, tenants))
    return time.monotonic()


async def play(deployment: lab.Lab) -> list[str]:
    """Return the requests that ran although no configuration in force has their key."""
    tenants = [lab.tenant(name, key) for name, key in KEYS.items()]
    await deployment.start(lab.make_document(11, tenants))
    await check_keys_in_force(deployment)
    acknowledged = await withdraw_keys(deployment)
    await asyncio.sleep(REVOCATION_S + 0.5)
    broken = []
    for proxy in deployment.proxies:
        for key in (*KEYS.values(), NEVER_A_KEY):
            is_held = not lab.TROUBLE and key != NEVER_A_KEY
            for method, path in REQUESTS:
                sent = time.monotonic() - acknowledged
                request, status = await ask(
                    deployment.record, proxy.front, key, method, path
                )
                runs = deployment.runs(request)
                if runs and not is_held:
                    rule = "ROUTE" if key == NEVER_A_KEY else "CONFIG"
                    broken.append(
                        f"{rule}: {method} {path} with key {key}, sent {sent:.1f} s"
                        f" after the acknowledgement, ran for tenant"
                        f" {runs[0]['tenant']} and got {status}"
                    )
                if is_held and status != 200:
                    broken.append(f"{method} {path} with a key in force got {status}")
    return broken


if __name__ == "__main__":
    lab.main(__file__, play)
