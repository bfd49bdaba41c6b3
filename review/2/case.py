"""Late second copies of rejections while unsafe requests are sent."""

import os
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from clients import Clients  # noqa: E402
from clients import judge_unsafe  # noqa: E402
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
# The largest dose of garble "extra late" on the site: share and x.
SHARE = 0.6
X = 0.03
GARBLE_S = 5.0
# The largest dose of srv_grey "shed" on the site, of all endpoints.
SHED_X = 0.55
SHED_S = 8.5
CYCLE_S = 10.0
CLIENTS = 36
LENGTH_S = 45.0


def cycle_s():
    """Return the time since the present cycle of disruptions began."""
    return (time.monotonic() - STARTED) % CYCLE_S


STARTED = time.monotonic()


class SheddingEndpoint(Endpoint):
    """Reject part of the requests, while the health check is good."""

    def should_reject(self, request):
        return cycle_s() < SHED_S and self.random.random() < SHED_X


class FaultyEndpoint(SheddingEndpoint):
    """Send a part of the answers a second time, late.

    The copy arrives where the next answer on the connection is expected.
    """

    async def after_answer(self, request, writer, state, data, status):
        if cycle_s() < GARBLE_S and self.random.random() < X:
            state["extra"] = (request.request_id, status, data)

    async def before_answer(self, request, writer, state):
        extra = state.pop("extra", None)
        if extra is None:
            return
        old, status, data = extra
        self.farm.record.write(
            f"extra copy of the {status} to {old} at {self.instance} "
            f"before the answer to {request.request_id}"
        )
        await self._write(writer, data)


def run(record):
    deployment = Deployment(record, controls=3, routers=3)
    farm = Farm(deployment, record)
    clients = Clients(deployment, record)
    try:
        deployment.start_all()
        routes = [route("loan", "unsafe", "desk")]
        body = configuration(1, 0, ["desk"], routes)
        found = order(deployment, "POST", "/Config.Replace", body)
        if found.status != 200:
            raise CannotRunError(f"configuration: {found.status}")
        total = 5
        for number in range(total):
            kind = SheddingEndpoint if TROUBLE else Endpoint
            if TROUBLE and number < int(SHARE * total):
                kind = FaultyEndpoint
            farm.add(
                kind(
                    farm,
                    "desk",
                    f"{deployment.prefix}.{201 + number}",
                    ZONES[number % 3],
                    work_ms=(80.0, 240.0),
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
        clients.start(CLIENTS, "POST", ["/loan/1"], lambda: 0.15)
        time.sleep(LENGTH_S)
        clients.stop()
        time.sleep(1.0)
        broken = judge_unsafe(clients, farm, record)
        note = f"rejected by endpoints {sum(map(len, farm.rejected.values()))}"
        return finish(record, clients, deployment, broken, note)
    finally:
        clients.stopping.set()
        farm.stop()
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
