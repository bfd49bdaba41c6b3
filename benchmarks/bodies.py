"""Measure the memory of one entry that receives many large bodies at once.

Usage:
  bodies [--callers=N] [--mib=N]

Options:
  --callers=N  Number of concurrent callers [default: 50].
  --mib=N      Size of each body, in MiB [default: 16].

The entry runs in its own process, with the default number of threads and with
routes for large bodies. The upstream runs in this process and reads each body
to its end. Prints the maximum resident memory of the entry's process, before
and after the calls.
"""

import multiprocessing
import resource
import socket
import sys
import threading
from collections import Counter
from multiprocessing.connection import Connection
from typing import Any

from docopt import docopt
from nutmegchute_core.routes import LARGE_BUFFER_BYTES
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.call_servers import CallServer
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream

MIB = 1024 * 1024
THREADS = 48
SLOTS = 64
DEADLINE_MS = 120000
CHUNK = b"x" * 65536


def run_entry(upstream: str, body_bytes: int, pipe: Connection) -> None:
    """Run an entry until "stop" is received.

    Send its address first and, for each other message, the maximum resident
    memory so far, in MiB.
    """
    server = CallServer(
        [upstream], threads=THREADS, slots=SLOTS, deadline_ms=DEADLINE_MS
    )
    server.limit_bodies(body_bytes, LARGE_BUFFER_BYTES)
    pipe.send(server.address)
    while pipe.recv() != "stop":
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pipe.send(usage.ru_maxrss / 1024)
    server.stop()


def upload(address: str, size: int, outcomes: Counter[str]) -> None:
    """Send one body and count the start of its answer or the error."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=60.0) as caller:
        head = (
            "POST /call/catalogo/a HTTP/1.1\r\nHost: x\r\n"
            f"Connection: close\r\nContent-Length: {size}\r\n\r\n"
        )
        try:
            caller.sendall(head.encode())
            for _ in range(size // len(CHUNK)):
                caller.sendall(CHUNK)
            answer = caller.recv(12).decode()
        except OSError as error:
            answer = type(error).__name__
    outcomes[answer] += 1


def main() -> int:
    """Run the command."""
    arguments: dict[str, Any] = docopt(__doc__)
    callers = int(arguments["--callers"])
    size = int(arguments["--mib"]) * MIB
    upstream = FaultyUpstream(faulty_upstreams.answer)
    pipe, child_pipe = multiprocessing.Pipe()
    entry = multiprocessing.get_context("spawn").Process(
        target=run_entry, args=(upstream.address, size, child_pipe)
    )
    entry.start()
    address = pipe.recv()
    pipe.send("memory")
    before = pipe.recv()
    outcomes: Counter[str] = Counter()
    threads = [
        threading.Thread(target=upload, args=(address, size, outcomes))
        for _ in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    pipe.send("memory")
    after = pipe.recv()
    pipe.send("stop")
    entry.join()
    upstream.stop()
    print(
        f"{callers} bodies of {size // MIB} MiB at once: resident "
        f"{before:.0f} MiB before, {after:.0f} MiB at most; {dict(outcomes)}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
