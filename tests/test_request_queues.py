"""Test the queue of connections in front of the worker threads."""

import queue

import pytest
from nutmegchute_daemon.request_queues import is_whole
from nutmegchute_daemon.request_queues import RequestQueue

GET = b"GET / HTTP/1.1\r\nHost: x\r\n"
POST = b"POST / HTTP/1.1\r\ncontent-LENGTH: 3\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("received", "whole"),
    [
        (b"", False),
        (GET, False),
        (GET + b"\r\n", True),
        (POST + b"ab", False),
        (POST + b"abc", True),
        (CHUNKED + b"3\r\nabc\r\n", False),
        (CHUNKED + b"3\r\nabc\r\n0\r\n\r\n", True),
        (CHUNKED + b"0\r\n\r\n", True),
        (GET + b"X: content-length: 9\r\n\r\n", True),
    ],
)
def test_whole_requests_are_recognized(received: bytes, whole: bool) -> None:
    """Guard against threads that wait for requests taken for whole."""
    assert is_whole(received) == whole


def test_whole_requests_pass_partial_ones() -> None:
    """Guard against ordinary requests that wait behind unfinished ones."""
    allowed = [False]
    found = RequestQueue(2, lambda: allowed[0])
    found.put_partial("partial")
    found.put_whole("whole")
    assert found.get() == "whole"
    found.put_whole("later")
    allowed[0] = True
    assert found.get() == "later"
    assert found.get() == "partial"


def test_each_kind_of_request_has_its_own_limit() -> None:
    """Guard against unfinished requests that fill the queue for all."""
    found = RequestQueue(1, lambda: True)
    found.put_partial("partial")
    with pytest.raises(queue.Full):
        found.put_partial("another")
    found.put_whole("whole")
    with pytest.raises(queue.Full):
        found.put_whole("another")
    # Signals that end the threads always fit.
    found.put("signal")
