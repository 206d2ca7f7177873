"""A planned stop while a connection carries two pipelined requests that both run."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

import lab

KEY = "nn2ctnfzs989anu6wsjn"
CONNECTIONS = 12
FIRST_WORK_MS = 600
SECOND_WORK_MS = 1100
SIGNAL_AFTER_S = 0.25


class Client:
    """One connection with two safe requests, the second sent before an answer."""

    def __init__(self, record: lab.Record, port: int) -> None:
        self._record = record
        self._port = port
        self.answered: dict[str, int] = {}
        self.end = "open"

    async def play(self) -> None:
        """Send both requests and read the answers until the connection ends."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        self.ids = [lab.new_id(), lab.new_id()]
        for request, work_ms in zip(
            self.ids, (FIRST_WORK_MS, SECOND_WORK_MS), strict=True
        ):
            path = f"/stock/1?work_ms={work_ms}"
            self._record.write("sent", request=request, path=path, port=self._port)
            writer.write(lab.encode(request, path, KEY))
        try:
            for request in self.ids:
                start, headers, _ = await lab.read_message(reader)
                status = int(start.split(" ")[1])
                self.answered[request] = status
                self._record.write(
                    "answered",
                    request=headers.get("x-gentianhitch-request-id"),
                    status=status,
                    connection=headers.get("connection"),
                )
            self.end = "all answered"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.end = type(error).__name__
            self._record.write("connection_ended", requests=self.ids, how=self.end)
        writer.close()


async def play(deployment: lab.Lab) -> list[str]:
    """Return the requests that were passed on to a server and got no answer."""
    record = deployment.record
    await deployment.start(lab.make_document(11, [lab.tenant("cuka620", KEY)]))
    await asyncio.sleep(lab.BOUNDS["contactMs"] / 1000)
    broken = []
    for proxy in deployment.proxies:
        clients = [Client(record, proxy.front) for _ in range(CONNECTIONS // 3)]
        playing = [asyncio.create_task(client.play()) for client in clients]
        await asyncio.sleep(SIGNAL_AFTER_S)
        if lab.TROUBLE:
            proxy.send_signal(signal.SIGTERM)
        await asyncio.wait_for(asyncio.gather(*playing), 15)
        for client in clients:
            for request in client.ids:
                runs = deployment.runs(request)
                if request not in client.answered and runs:
                    broken.append(
                        f"LOST: {request} was passed on to {runs[0]['server']}, which"
                        f" was at work on it ({runs[0]['ended']}); no answer,"
                        f" the connection ended ({client.end})"
                    )
        if not lab.TROUBLE and any(len(client.answered) < 2 for client in clients):
            broken.append("a request got no answer without any disruption")
        await asyncio.sleep(1.0)
    return broken


if __name__ == "__main__":
    lab.main(__file__, play)
