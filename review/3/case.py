"""The limit of a tenant is lifted while its requests wait for it."""

from __future__ import annotations

import asyncio
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import lab

KEY = "nn2ctnfzs989anu6wsjn"
RATE_PER_S = 90
BURST = 20
CONNECTIONS = 59
PAUSE_S = 0.05
START_GAP_S = 0.06
GAPS_S = (0.26, 0.0)
WORK_MS = 300
LOSS_SLACK_S = lab.BOUNDS["lossSlackMs"] / 1000
STEADY_S = 3.0
AFTER_S = lab.BOUNDS["configurationApplyMs"] / 1000 + 1.0


@dataclass(frozen=True)
class Cut:
    """A request whose connection ended without its answer, and the times of both."""

    request: str
    sent: float
    ended: float


class Client:
    """One kept connection; two safe requests at a time, again after a pause."""

    def __init__(self, record: lab.Record, port: int) -> None:
        self._record = record
        self._port = port
        self.is_stopping = False
        self.statuses: dict[int, int] = {}
        self.cut: list[Cut] = []

    async def play(self) -> None:
        """Send groups until told to stop; connect again when the connection ends."""
        while not self.is_stopping:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            waiting: dict[str, float] = {}
            try:
                while not self.is_stopping:
                    await self._send_group(reader, writer, waiting)
                    await asyncio.sleep(PAUSE_S)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                now = time.monotonic()
                self.cut += [Cut(request, at, now) for request, at in waiting.items()]
                self._record.write(
                    "connection_ended",
                    unanswered=list(waiting),
                    how=type(error).__name__,
                )
            writer.close()

    async def _send_group(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        waiting: dict[str, float],
    ) -> None:
        for gap_s in GAPS_S:
            request = lab.new_id()
            path = f"/past/1?work_ms={WORK_MS}"
            self._record.write("sent", request=request, path=path, port=self._port)
            writer.write(lab.encode(request, path, KEY))
            waiting[request] = time.monotonic()
            await asyncio.sleep(gap_s)
        while waiting:
            start, _, _ = await asyncio.wait_for(lab.read_message(reader), 15)
            status = int(start.split(" ")[1])
            request = next(iter(waiting))
            del waiting[request]
            self._record.write("answered", request=request, status=status)
            self.statuses[status] = self.statuses.get(status, 0) + 1


async def play(deployment: lab.Lab) -> list[str]:
    """Return the requests that ran and whose connection ended without an answer."""
    record = deployment.record
    limited = lab.tenant("cuka620", KEY, rate_per_s=RATE_PER_S, burst=BURST)
    lifted = lab.tenant("cuka620", KEY) if lab.TROUBLE else limited
    await deployment.start(lab.make_document(11, [limited]), servers=6)
    clients = [
        Client(record, proxy.front)
        for _ in range(CONNECTIONS)
        for proxy in deployment.proxies
    ]
    playing = []
    for client in clients:
        playing.append(asyncio.create_task(client.play()))
        await asyncio.sleep(START_GAP_S)
    await asyncio.sleep(STEADY_S)
    deployment.store.configure(lab.make_document(14, [lifted]))
    acknowledged = time.monotonic()
    await asyncio.sleep(AFTER_S)
    for client in clients:
        client.is_stopping = True
    await asyncio.wait_for(asyncio.gather(*playing), 30)
    statuses: dict[int, int] = {}
    for client in clients:
        for status, count in client.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    record.write("statuses", **{str(status): n for status, n in statuses.items()})
    broken = []
    for cut in (cut for client in clients for cut in client.cut):
        runs = deployment.runs(cut.request)
        if runs or cut.ended - cut.sent > LOSS_SLACK_S:
            state = f"passed on to {runs[0]['server']}" if runs else "not passed on"
            broken.append(
                f"LOST: {cut.request}, {state}: its connection ended without an answer"
                f" {cut.ended - cut.sent:.3f} s after it was sent and"
                f" {cut.ended - acknowledged:.2f} s after the acknowledgement"
            )
    return broken


if __name__ == "__main__":
    lab.main(__file__, play)
