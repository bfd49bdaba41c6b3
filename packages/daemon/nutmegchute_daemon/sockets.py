"""Check a connection without consuming its data or a pending error."""

import select
import socket

# Also set while data is unread, which may hide the end of the stream.
_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL


def is_peer_closed(socket_number: int) -> bool:
    """Return whether the other side has closed its connection."""
    if socket_number < 0:
        # This side has closed it already.
        return True
    poll = select.poll()
    poll.register(socket_number, select.POLLRDHUP)
    return any(events & _CLOSED for _, events in poll.poll(0))


def is_half_closed(sock: socket.socket) -> bool:
    """Return whether the other side has ended its stream in order.

    A reset and the end of both directions show as more than that.
    """
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return poll.poll(0) == [(sock.fileno(), select.POLLRDHUP)]
