"""A late heartbeat of an endpoint that is gone, after a rolling restart."""

import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from clients import Clients  # noqa: E402
from deployment import CannotRunError  # noqa: E402
from deployment import configuration  # noqa: E402
from deployment import Deployment  # noqa: E402
from deployment import http  # noqa: E402
from deployment import order  # noqa: E402
from deployment import route  # noqa: E402
from deployment import wait_until  # noqa: E402
from deployment import ZONES  # noqa: E402
from endpoints import Endpoint  # noqa: E402
from endpoints import Farm  # noqa: E402
from runner import finish  # noqa: E402
from runner import main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the site: drainMs, contactMs and graceS.
DRAIN_S = 2.0
CONTACT_S = 3.0
GRACE_S = 6.0
# How long the endpoint serves after its late heartbeat has arrived.
SERVES_ON_S = 2.5


def heartbeat(endpoint):
    """Build the next heartbeat of an endpoint."""
    endpoint.sequence += 1
    return {
        "service": endpoint.service,
        "address": endpoint.address,
        "zone": endpoint.zone,
        "version": "v1",
        "capacity": endpoint.capacity,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": endpoint.sequence,
    }


def post(address, path, body):
    found = http("POST", address, path, body)
    if found.status != 200:
        raise CannotRunError(f"{path}: {found.status}")


def restart(deployment, ips):
    """Stop processes and start each as soon as it has ended."""
    for ip in ips:
        deployment.signal(ip, signal.SIGTERM)
    for ip in ips:
        deployment.processes[ip].wait(GRACE_S + 2.0)
        deployment.processes.pop(ip)
        deployment.start(ip)


def judge(clients, farm, endpoint, since, record):
    """Return the requests that ran at an endpoint that is gone."""
    broken = []
    for request_id, runs in farm.ran.items():
        for instance, at in runs:
            if instance != endpoint.instance or at <= since:
                continue
            method, path, found, _, _ = clients.answers[request_id]
            broken.append(
                f"DRAIN {request_id} {method} {path} ran at {instance}, "
                f"{at - since:.2f} s too late, answered {found.status}"
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
        work_ms = (30.0, 90.0)
        for number in range(3):
            ip = f"{deployment.prefix}.{201 + number}"
            zone = ZONES[number]
            farm.add(Endpoint(farm, "desk", ip, zone, work_ms=work_ms))
        ip = f"{deployment.prefix}.210"
        leaving = Endpoint(farm, "desk", ip, ZONES[0], work_ms=work_ms)
        farm.run(leaving.open())
        farm.endpoints.append(leaving)
        path = f"/Instances.Heartbeat/{leaving.instance}"
        for _ in range(3):
            post(deployment.control(0), path, heartbeat(leaving))
            time.sleep(1.0)
        for number in range(3):
            wait_until(
                lambda number=number: (
                    clients.send("POST", "/loan/ready", number)[1].status
                    == 200
                ),
                f"router {number} serves",
            )
        clients.start(4, "GET", ["/shelf/1"], lambda: 0.05)
        clients.start(4, "POST", ["/loan/1"], lambda: 0.05)
        time.sleep(1.0)
        # On its way to another replica from now on.
        late = heartbeat(leaving)
        post(deployment.control(0), path, heartbeat(leaving))
        path_end = f"/Instances.Deregister/{leaving.instance}"
        post(deployment.control(0), path_end, {})
        acknowledged_at = time.monotonic()
        record.write(f"acknowledged the end of {leaving.instance}")
        time.sleep(0.1)
        if TROUBLE:
            ips = [deployment.controls[0], *deployment.routers[:2]]
            restart(deployment, ips)
        else:
            time.sleep(GRACE_S / 2)
        started_at = time.monotonic()
        time.sleep(CONTACT_S + 0.3)
        post(deployment.control(1), path, late)
        late_s = time.monotonic() - acknowledged_at
        record.write("the late heartbeat has arrived")
        time.sleep(SERVES_ON_S)
        farm.run(leaving.close())
        time.sleep(SERVES_ON_S)
        clients.stop()
        since = max(acknowledged_at + DRAIN_S, started_at + CONTACT_S)
        broken = judge(clients, farm, leaving, since, record)
        note = f"late by {late_s:.1f} s"
        return finish(record, clients, deployment, broken, note)
    finally:
        clients.stopping.set()
        farm.stop()
        deployment.stop()


if __name__ == "__main__":
    sys.exit(main(run, FOLDER))
