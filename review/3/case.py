"""Answers that endpoints break off, some of them within the head."""

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
# The default dose of garble, which is also the largest of its plain variant.
SHARE = 0.5
X = 0.02
GARBLE_S = 5.0
CYCLE_S = 6.0
LENGTH_S = 40.0
STARTED = time.monotonic()


class SoundEndpoint(Endpoint):
    """Write the head in the order of the example in PROTOCOL.md."""

    def head(self, status, request, length, **headers):
        lines = [f"HTTP/1.1 {status} X"]
        if request.request_id:
            lines.append(f"Request-Id: {request.request_id}")
        for name, value in headers.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        lines.append(f"Instance-Id: {self.instance}")
        lines.append(f"Instance-Load: {self.load()}")
        lines.append(f"Keep-Alive: timeout={int(self.idle_s)}")
        lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def answer(self, request, writer, state, data, status):
        if status == 200:
            head, _, body = data.partition(b"\r\n\r\n")
            signature = [
                line.partition(b": ")[2].decode()
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"server-signature:")
            ][0]
            with self.farm.lock:
                self.farm.sent = getattr(self.farm, "sent", {})
                known = self.farm.sent.setdefault(request.request_id, [])
                known.append((signature, body))
        await super().answer(request, writer, state, data, status)


class FaultyEndpoint(SoundEndpoint):
    """Break off a part of the answers at any byte and close."""

    async def _write(self, writer, data):
        if b"Server-Signature" in data:
            since = (time.monotonic() - STARTED) % CYCLE_S
            if since < GARBLE_S and self.random.random() < X:
                length = self.random.randrange(1, len(data))
                head = data.index(b"\r\n\r\n")
                part = "head" if length < head + 4 else "body"
                self.farm.record.write(
                    f"broken off in the {part} after {length} of {len(data)} "
                    f"bytes at {self.instance}: {data[:length][-60:]!r}"
                )
                writer.write(data[:length])
                await writer.drain()
                writer.close()
                raise ConnectionResetError
        await super()._write(writer, data)


def judge(clients, farm, record):
    """Return the successes that are not an endpoint's whole answer."""
    broken = []
    for request_id, (_, path, found, _, _) in clients.answers.items():
        if not 200 <= found.status < 300 or not found.complete:
            continue
        # A safe request may have been sent to two endpoints.
        answers = farm.sent.get(request_id, [])
        shown = found.headers.get("server-signature", "")
        if (shown, found.body) not in answers:
            broken.append(
                f"MIXED {request_id} {path} got a complete {found.status} "
                f"with signature {shown!r} and body {found.body!r}, the "
                f"endpoints' whole answers were {answers!r}"
            )
    for line in broken:
        record.write(f"broken {line}")
    return broken


def run(record):
    deployment = Deployment(record, controls=3, routers=3)
    farm = Farm(deployment, record)
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
        total = 6
        for number in range(total):
            faulty = TROUBLE and number < int(SHARE * total)
            kind = FaultyEndpoint if faulty else SoundEndpoint
            farm.add(
                kind(
                    farm,
                    "desk",
                    f"{deployment.prefix}.{201 + number}",
                    ZONES[number % 3],
                    work_ms=(30.0, 90.0),
                    seed=random.getrandbits(32),
                )
            )
        for number in range(3):
            wait_until(
                lambda number=number: (
                    clients.send("POST", "/loan/ready", number)[1].status
                    == 200
                ),
                f"router {number} serves",
            )
        clients.start(6, "GET", ["/shelf/1", "/shelf/2"], lambda: 0.04)
        clients.start(6, "POST", ["/loan/1"], lambda: 0.04)
        time.sleep(LENGTH_S)
        clients.stop()
        time.sleep(0.5)
        broken = judge(clients, farm, record)
        return finish(record, clients, deployment, broken)
    finally:
        clients.stopping.set()
        farm.stop()
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
