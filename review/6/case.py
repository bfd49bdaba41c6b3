"""Break off answers without a length while uploads are still sent."""

import os
import random
import socket
import struct
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-ins-2"))

import deployment as d  # noqa: E402

HOST = "kcbt.example"
UPLOADS = 160
BODY = 100_000
ANSWER = 6000
# Of half of the endpoints, one answer in fifty is broken off.
BROKEN_OFF_EACH = 50
FIRST_BROKEN_OFF = 45


def break_off(endpoint, conn, file, method, path, headers):
    """Answer early without a length, and break off with a reset."""
    name = headers["request-id"]
    file.read(40_000)
    endpoint.note_run(name, method, path, 40_000, headers)
    time.sleep(endpoint.work_s)
    head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
    head += f"Request-Id: {name}\r\n"
    head += f"Server-Signature: {endpoint.instance}.{name}\r\n\r\n"
    conn.sendall(head.encode() + b"a" * (ANSWER // 2))
    endpoint.record.write(
        f"{endpoint.instance} breaks off its answer to {name} after "
        f"{ANSWER // 2} of {ANSWER} bytes, with a reset"
    )
    conn.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    endpoint.broken_off.add(name)
    return False


class FaultyEndpoint(d.Endpoint):
    """Break off one answer to an upload in fifty."""

    def __init__(self, *args, **values):
        self.uploads = 0
        self.broken_off = set()
        super().__init__(*args, **values)

    def _serve_one(self, conn, file):
        self.faults = Nth(self)
        return super()._serve_one(conn, file)


class Nth:
    """Choose the requests whose answers are broken off, by their count."""

    def __init__(self, endpoint):
        self._endpoint = endpoint

    def get(self, name):
        if not name.startswith("u"):
            return None
        self._endpoint.uploads += 1
        number = self._endpoint.uploads
        if number % BROKEN_OFF_EACH != FIRST_BROKEN_OFF or not d.TROUBLE:
            return None
        return break_off


def case(record):
    site = d.Deployment(record, limits={"linkMbps": 2.35, "memoryMb": 200})
    endpoints = [
        FaultyEndpoint(record, site.network, 0, "pakia", site.zones[0]),
        d.Endpoint(record, site.network, 1, "pakia", site.zones[1]),
    ]
    try:
        site.start_all()
        routes = [d.build_route("upload", "pakia", "upload", 5000)]
        configuration = d.build_configuration(3, 0, HOST, ["pakia"], routes)
        operator = d.Operator(site)
        if operator.order("/Config.Replace", configuration) != 200:
            raise d.NotRunError("the configuration was refused")
        beats = d.Heartbeats(site, endpoints)
        router = [f"{one}:{d.FRONT}" for one in site.routers]

        def upload(number, name, body):
            headers = {
                "Host": HOST,
                "Request-Id": name,
                "Deadline-Ms": "5000",
            }
            return d.exchange(
                router[number % 2], "POST", f"/upload/{number}", headers, body
            )

        for number in range(2):
            d.wait_until(
                lambda n=number: upload(n, f"a-{time.monotonic()}", b"x")
                .status == 200,
                "a first upload",
            )
        answers = {}
        gate = threading.Semaphore(6)

        def one(number):
            name = f"u{number}-{random.getrandbits(40):x}"
            with gate:
                answer = upload(number, name, os.urandom(BODY))
                answers[name] = answer
                record.write(f"client of {name}: {answer}")

        threads = []
        for number in range(UPLOADS):
            threads.append(threading.Thread(target=one, args=(number,)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        beats.stop()
        broken = 0
        served = 0
        for name, answer in answers.items():
            success = 200 <= answer.status < 300 and answer.is_whole
            served += success
            if not success:
                continue
            if name in endpoints[0].broken_off:
                broken += 1
                record.write(
                    f"MIXED: {name} was answered {answer}, complete by its "
                    "framing; the endpoint's answer was broken off"
                )
        record.write(f"served {served} of {UPLOADS}, broken {broken}")
        if served < UPLOADS // 2:
            raise d.NotRunError("too few uploads were served")
        return d.BROKEN if broken else d.HELD
    finally:
        site.stop()


d.run(FOLDER, case)
