"""Take an entry out of service."""

import time

from .errors import EXIT_DONE
from .errors import OutcomeUnknownError
from .options import Options

POLL_S = 0.2


def drain(options: Options) -> int:
    """Drain an entry and wait until it has stopped."""
    client = options.entry()
    client.post("/drain")
    print(f"{client.address} is draining: callers no longer get its address")
    deadline = time.monotonic() + options.wait_s
    while True:
        if client.get_or_none("/status") is None:
            print(f"{client.address} has stopped")
            return EXIT_DONE
        if time.monotonic() >= deadline:
            break
        time.sleep(POLL_S)
    raise OutcomeUnknownError(
        f"{client.address} is still draining after {options.wait_s:g} s: it "
        "waits for cached addresses to expire and calls in flight to end; "
        "run the same command again to continue waiting"
    )
