"""Take an entry out of service."""

import time

from .errors import EXIT_DONE
from .errors import OutcomeUnknownError
from .options import Options

POLL_S = 0.2


def drain(options: Options) -> int:
    """Tell an entry to drain and wait until it has stopped."""
    client = options.entry()
    client.post("/drain")
    print(f"{client.address} drains: it is named to no caller any more")
    deadline = time.monotonic() + options.wait_s
    while True:
        if client.find("/status") is None:
            print(f"{client.address} has stopped")
            return EXIT_DONE
        if time.monotonic() >= deadline:
            break
        time.sleep(POLL_S)
    raise OutcomeUnknownError(
        f"{client.address} drains still after {options.wait_s:g} s: it "
        "outlasts the answers that named it and the calls in flight; run "
        "the same command again to go on waiting"
    )
