"""Read the clock that leases are measured by."""

import time


def boot_time() -> float:
    """Give the seconds since the vm started, suspended ones included.

    The loop's clock stands still while the vm is suspended: a lease must
    not outlast its time because nobody counted it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
