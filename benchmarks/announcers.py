"""Announce many endpoints, as often as the entries ask for it.

Usage:
  announcers ADDRESSES FIRST STEP ENDPOINTS SERVICES

Stands in for the upstreams of a large deployment: endpoints FIRST,
FIRST + STEP and so on below ENDPOINTS, each to one entry of ADDRESSES.
Ends at SIGTERM, and then prints by how much it was late at most.
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
    """Announce a share of the endpoints round by round."""

    __slots__ = ("_addresses", "_late_s", "_pool", "_running", "_services")

    def __init__(self, addresses: list[str], services: int) -> None:
        self._addresses = addresses
        self._services = services
        self._late_s = 0.0
        self._running = True
        self._pool = urllib3.PoolManager(
            num_pools=len(addresses),
            maxsize=THREADS,
            timeout=TIMEOUT_S,
            retries=False,
        )

    @property
    def late_s(self) -> float:
        """Give the most that an announcement was late, in seconds."""
        return self._late_s

    def stop(self, number: int, frame: FrameType | None) -> None:
        """End after the announcement under way."""
        self._running = False

    def run(self, numbers: range) -> None:
        """Announce on several threads.

        Upstreams wait for their own answers only; one thread would hold
        all back behind the slowest, and leases would run out for that.
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
                self._late_s = max(self._late_s, -wait_s)
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
    """Announce until told to stop."""
    arguments = docopt(__doc__)
    announcer = Announcer(
        arguments["ADDRESSES"].split(","), int(arguments["SERVICES"])
    )
    signal.signal(signal.SIGTERM, announcer.stop)
    step = int(arguments["STEP"])
    announcer.run(
        range(int(arguments["FIRST"]), int(arguments["ENDPOINTS"]), step)
    )
    print(f"{announcer.late_s:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
