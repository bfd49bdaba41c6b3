"""Routers are killed while they pass on answers that have no length."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from clients import Clients  # noqa: E402
from deployment import CannotRunError  # noqa: E402
from deployment import configuration  # noqa: E402
from deployment import Deployment  # noqa: E402
from deployment import order  # noqa: E402
from deployment import route  # noqa: E402
from deployment import wait_until  # noqa: E402
from deployment import ZONES  # noqa: E402
from endpoints import Endpoint  # noqa: E402
from endpoints import Farm  # noqa: E402
from runner import finish  # noqa: E402
from runner import main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Dose of garble "unframed" on the site; the share is the default.
SHARE = 0.5
X = 0.05
# Share of the routers that herd_kill ends at once on the site.
ROUTERS = 5
KILLED = 2
# Answers without a length are given for UNFRAMED_S of each cycle, and the
# routers are killed within that time.
CYCLE_S = 6.0
UNFRAMED_S = 5.0
KILL_AT_S = 4.0
DOWN_S = 0.5
LENGTH_S = 90.0
PIECES = 8
PIECE_BYTES = 1500


class StreamingEndpoint(Endpoint):
    """Send each answer in pieces, as it is produced.

    A part of the answers of some endpoints has no length and ends with the
    connection.
    """

    unframed = 0.0

    async def answer(self, request, writer, state, data, status):
        if status != 200:
            await super().answer(request, writer, state, data, status)
            return
        lines = [
            f"{self.instance} {request.request_id} {n} " for n in range(PIECES)
        ]
        pieces = [(one * PIECE_BYTES)[:PIECE_BYTES].encode() for one in lines]
        body = b"".join(pieces)
        signature = f"s.{self.instance}"
        with self.farm.lock:
            known = self.farm.sent.setdefault(request.request_id, [])
            known.append((signature, body))
        head = self.head(200, request, len(body), Server_Signature=signature)
        is_due = (time.monotonic() - self.farm.since) % CYCLE_S < UNFRAMED_S
        without = is_due and self.random.random() < self.unframed
        if without:
            length = f"Content-Length: {len(body)}\r\n".encode()
            head = head.replace(length, b"Connection: close\r\n")
            self.farm.record.write(
                f"answer without length to {request.request_id} at "
                f"{self.instance}"
            )
        await self._write(writer, head)
        for piece in pieces:
            await self._write(writer, piece)
            await asyncio.sleep(0.05)
        if without:
            state["close"] = True


def judge(clients, farm, record):
    """Return the successes that are not an endpoint's whole answer."""
    broken = []
    for request_id, (_, path, found, _, _) in clients.answers.items():
        if not 200 <= found.status < 300 or not found.complete:
            continue
        answers = farm.sent.get(request_id, [])
        shown = found.headers.get("server-signature", "")
        if (shown, found.body) in answers:
            continue
        broken.append(
            f"MIXED {request_id} {path} got {found.status}, ended without a "
            f"reset, with {len(found.body)} of "
            f"{[len(body) for _, body in answers]} bytes"
        )
    for line in broken:
        record.write(f"broken {line}")
    return broken


def run(record):
    deployment = Deployment(record, controls=3, routers=ROUTERS)
    farm = Farm(deployment, record)
    farm.sent = {}
    farm.since = time.monotonic()
    clients = Clients(deployment, record)
    try:
        deployment.start_all()
        routes = [
            route("shelf", "safe", "desk"),
            route("loan", "unsafe", "desk"),
        ]
        body = configuration(1, 0, ["desk"], routes)
        found = order(deployment, "POST", "/Config.Replace", body)
        if found.status != 200:
            raise CannotRunError(f"configuration: {found.status}")
        total = 20
        for number in range(total):
            endpoint = StreamingEndpoint(
                farm,
                "desk",
                f"{deployment.prefix}.{201 + number}",
                ZONES[number % 3],
                work_ms=(20.0, 60.0),
                seed=random.getrandbits(32),
            )
            if number < SHARE * total:
                endpoint.unframed = X
            farm.add(endpoint)
        for number in range(ROUTERS):
            wait_until(
                lambda number=number: (
                    clients.send("POST", "/loan/ready", number)[1].status
                    == 200
                ),
                f"router {number} serves",
            )
        clients.start(40, "GET", ["/shelf/1", "/shelf/2"], lambda: 0.1)
        clients.start(40, "POST", ["/loan/1"], lambda: 0.1)
        farm.since = time.monotonic()
        turn = 0
        for cycle in range(int(LENGTH_S / CYCLE_S)):
            kill_at = farm.since + cycle * CYCLE_S + KILL_AT_S
            time.sleep(max(0.0, kill_at - time.monotonic()))
            if not TROUBLE:
                continue
            killed = []
            for _ in range(KILLED):
                killed.append(deployment.routers[turn % ROUTERS])
                turn += 1
            for ip in killed:
                deployment.kill(ip)
            time.sleep(DOWN_S)
            for ip in killed:
                deployment.start(ip)
        time.sleep(CYCLE_S - KILL_AT_S)
        clients.stop()
        time.sleep(0.5)
        broken = judge(clients, farm, record)
        return finish(record, clients, deployment, broken, f"kills {turn}")
    finally:
        clients.stopping.set()
        farm.stop()
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
