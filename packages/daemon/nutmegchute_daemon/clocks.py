"""Read the clock that measures leases and permits."""

import time


def boot_time() -> float:
    """Return the seconds since the vm's boot, time suspended included.

    The event loop's clock stops while the vm is suspended. A lease measured
    by it would last too long.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# When this process began to import the daemon, which takes a large part of
# its start. A control replica has granted no permits since then.
STARTED_AT = boot_time()
