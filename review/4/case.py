"""A server leaves while a proxy is cut from the store; the proxy is in touch again."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import lab

KEY = "nn2ctnfzs989anu6wsjn"
CONTACT_S = lab.BOUNDS["contactMs"] / 1000
DRAIN_S = lab.BOUNDS["drainMs"] / 1000
LEAVES_AFTER_S = 1.0
CUT_S = 3.6
SERVES_ON_S = 6.1
WATCHED_S = 5.0
CLIENTS = 6
PAUSE_S = 0.05
WORK_MS = 150


class Client:
    """Places one order after the other on a kept connection."""

    def __init__(self, record: lab.Record, port: int) -> None:
        self._record = record
        self._port = port
        self.is_stopping = False
        self.statuses_by_request: dict[str, int] = {}

    async def play(self) -> None:
        """Place orders until told to stop."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        while not self.is_stopping:
            request = lab.new_id()
            path = f"/order/1?work_ms={WORK_MS}"
            self._record.write("sent", request=request, path=path)
            writer.write(lab.encode(request, path, KEY, "POST", body=b"one pallet"))
            start, _, _ = await asyncio.wait_for(lab.read_message(reader), 12)
            status = int(start.split(" ")[1])
            self.statuses_by_request[request] = status
            self._record.write("answered", request=request, status=status)
            await asyncio.sleep(PAUSE_S)
        writer.close()


async def play(deployment: lab.Lab) -> list[str]:
    """Return the orders that reach the server too late after it has left."""
    record, store = deployment.record, deployment.store
    await deployment.start(
        lab.make_document(11, [lab.tenant("cuka620", KEY)]), proxies=1
    )
    clients = [Client(record, deployment.proxies[0].front) for _ in range(CLIENTS)]
    playing = [asyncio.create_task(client.play()) for client in clients]
    await asyncio.sleep(CONTACT_S)
    if lab.TROUBLE:
        store.is_cut = True
        record.write("proxy_cut_from_store")
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = next(s for s in deployment.servers if s.service == "ordertake")
    leaving.leave()
    acknowledged = time.monotonic()
    await asyncio.sleep(CUT_S - LEAVES_AFTER_S)
    store.is_cut = False
    back = time.monotonic()
    record.write("cut_healed")
    await asyncio.sleep(acknowledged + SERVES_ON_S - time.monotonic())
    leaving.exit()
    await asyncio.sleep(back + WATCHED_S - time.monotonic())
    for client in clients:
        client.is_stopping = True
    await asyncio.wait_for(asyncio.gather(*playing), 15)
    bound = max(acknowledged + DRAIN_S, back + CONTACT_S if lab.TROUBLE else 0.0)
    statuses = {k: v for c in clients for k, v in c.statuses_by_request.items()}
    return [
        f"DRAIN: {run['request']} reached {leaving.id} {run['at'] - acknowledged:.2f} s"
        f" after its removal was acknowledged and {run['at'] - back:.2f} s after the"
        f" cut had healed; the client got {statuses[run['request']]}"
        for run in leaving.runs
        if run["at"] > bound + 0.1
    ]


if __name__ == "__main__":
    lab.main(__file__, play)
