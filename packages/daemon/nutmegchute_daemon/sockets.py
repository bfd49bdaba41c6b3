"""Check a connection without consuming its data."""

import select

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
