"""Check a connection without consuming its data."""

import socket


def is_peer_closed(socket_number: int) -> bool:
    """Return whether the other side has closed its connection."""
    try:
        sock = socket.socket(fileno=socket_number)
    except OSError:
        return True
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return sock.recv(1, flags) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        # The worker owns the descriptor; detaching keeps it open.
        sock.detach()
