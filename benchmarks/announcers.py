"""Announce many endpoints, at the interval that the entries request.

Usage:
  announcers ADDRESSES FIRST STEP ENDPOINTS SERVICES

Simulates the upstreams of a large deployment: announces the endpoints FIRST,
FIRST + STEP and so on below ENDPOINTS, each to one entry of ADDRESSES. Ends
at SIGTERM and then prints the maximum lateness of an announcement, in
seconds.
"""

import signal
import sys
import threading
import time
from types import FrameType

import msgspec
import urllib3
from docopt import docopt

TIMEOUT_S = 5.0
THREADS = 8
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"]


class Announcer:
    """Announce a share of the endpoints in rounds."""

    __slots__ = (
        "_addresses",
        "_max_lateness_s",
        "_pool",
        "_running",
        "_services",
    )

    def __init__(self, addresses: list[str], services: int) -> None:
        self._addresses = addresses
        self._services = services
        self._max_lateness_s = 0.0
        self._running = True
        self._pool = urllib3.PoolManager(
            num_pools=len(addresses),
            maxsize=THREADS,
            timeout=TIMEOUT_S,
            retries=False,
        )

    @property
    def max_lateness_s(self) -> float:
        """Return the maximum lateness of an announcement, in seconds."""
        return self._max_lateness_s

    def stop(self, signal_number: int, frame: FrameType | None) -> None:
        """Handle a signal: stop after the current announcement."""
        self._running = False

    def run(self, numbers: range) -> None:
        """Announce on several threads.

        In one thread a slow answer would delay all other announcements, and
        leases would expire. Real upstreams wait only for their own answers.
        """
        threads = []
        for first in range(THREADS):
            share = numbers[first::THREADS]
            if not share:
                continue
            threads.append(threading.Thread(target=self._run, args=(share,)))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _run(self, numbers: range) -> None:
        due = time.monotonic()
        while True:
            for number in numbers:
                refresh_s = self._announce(number)
                due += refresh_s / len(numbers)
                wait_s = due - time.monotonic()
                self._max_lateness_s = max(self._max_lateness_s, -wait_s)
                if not self._running:
                    return
                time.sleep(max(0.0, wait_s))

    def _announce(self, number: int) -> float:
        address = self._addresses[number % len(self._addresses)]
        body = {
            "service": f"service-{number % self._services}",
            "endpoint": f"10.{number // 250}.0.{number % 250}:8000",
            "availability_zone": ZONES[number % len(ZONES)],
            "slots": 3,
            "incarnation": 1,
        }
        answer = self._pool.request(
            "POST",
            f"http://{address}/announce",
            body=msgspec.json.encode(body),
        )
        return float(msgspec.json.decode(answer.data)["refresh_s"])


def main() -> int:
    """Announce until SIGTERM."""
    arguments = docopt(__doc__)
    announcer = Announcer(
        arguments["ADDRESSES"].split(","), int(arguments["SERVICES"])
    )
    signal.signal(signal.SIGTERM, announcer.stop)
    step = int(arguments["STEP"])
    announcer.run(
        range(int(arguments["FIRST"]), int(arguments["ENDPOINTS"]), step)
    )
    print(f"{announcer.max_lateness_s:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
