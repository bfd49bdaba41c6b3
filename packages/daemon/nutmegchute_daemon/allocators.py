"""Set the C library's memory allocator so that it returns what is freed."""

import contextlib
import ctypes

# Parameters of mallopt(3).
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# A block at least this long is returned to the system when it is freed.
MMAP_THRESHOLD_BYTES = 131072
MAX_ARENAS = 2


def return_freed_blocks() -> None:
    """Let the allocator return long blocks as soon as they are freed.

    By default it raises the threshold to the longest block freed so far, and
    keeps an arena for each thread: what one request returned, the next one
    on another thread would allocate again.
    """
    with contextlib.suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(M_ARENA_MAX, MAX_ARENAS)
