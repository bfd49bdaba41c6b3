"""Stand-in for clients: each attempt has its own id."""

import itertools
import random
import threading
import time

from deployment import Answer
from deployment import HOST
from deployment import open_connection
from deployment import read_answer

PROMISES = (408, 421, 429, 503)


class Clients:
    """Send requests from several threads and keep what was answered."""

    def __init__(self, deployment, record, deadline_ms=3000, prefix="q"):
        self.deployment = deployment
        self.record = record
        self.deadline_ms = deadline_ms
        self.prefix = prefix
        self.lock = threading.Lock()
        self.counter = itertools.count(1)
        # By request id: (method, status, complete, headers, sent, answered).
        self.answers = {}
        self.stopping = threading.Event()
        self.threads = []

    def next_id(self):
        with self.lock:
            return f"{self.prefix}{next(self.counter):08x}"

    def send(
        self,
        method,
        path,
        number=0,
        body=b"",
        headers=None,
        sock=None,
        timeout=None,
        request_id=None,
    ):
        """Send one attempt; return its id and its answer."""
        request_id = request_id or self.next_id()
        own = sock is None
        sent = time.monotonic()
        found = Answer()
        try:
            if own:
                sock = open_connection(self.deployment.router(number))
            sock.settimeout(timeout or self.deadline_ms / 1000 + 1.0)
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Request-Id: {request_id}",
                f"Deadline-Ms: {self.deadline_ms}",
                f"Content-Length: {len(body)}",
            ]
            for name, value in (headers or {}).items():
                lines.append(f"{name}: {value}")
            head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
            self.record.write(f"send {request_id} {method} {path}")
            sock.sendall(head + body)
            with sock.makefile("rb") as file:
                found = read_answer(file, method)
        except (OSError, ValueError) as error:
            self.record.write(f"error {request_id} {error!r}")
        finally:
            if own and sock is not None:
                sock.close()
        now = time.monotonic()
        with self.lock:
            self.answers[request_id] = (method, path, found, sent, now)
        self.record.write(f"answer {request_id} {found.status}")
        return request_id, found

    def start(self, count, method, paths, pause_s, routers=None, **values):
        """Start threads that send until stopped, with pauses between."""
        for index in range(count):
            chooser = random.Random(index)
            thread = threading.Thread(
                target=self._loop,
                args=(chooser, method, paths, pause_s, routers, values),
                daemon=True,
            )
            self.threads.append(thread)
            thread.start()

    def _loop(self, chooser, method, paths, pause_s, routers, values):
        count = len(self.deployment.routers)
        while not self.stopping.is_set():
            number = chooser.choice(routers or range(count))
            self.send(method, chooser.choice(paths), number, **values)
            self.stopping.wait(chooser.uniform(0.5, 1.5) * pause_s())

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(10)


def judge_unsafe(clients, farm, record):
    """Return the breaks of TWICE and REFUSED among unsafe requests."""
    broken = []
    for request_id, (method, path, found, _, _) in clients.answers.items():
        runs = farm.ran.get(request_id, [])
        if len(runs) > 1:
            broken.append(f"TWICE {request_id} ran at {[r[0] for r in runs]}")
        if runs and found.status in PROMISES:
            broken.append(f"REFUSED {request_id} ran, answered {found.status}")
    for line in broken:
        record.write(f"broken {line}")
    return broken
