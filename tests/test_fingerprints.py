"""Recognize a request that comes again."""

from nutmegchute_daemon.fingerprints import fingerprint
from nutmegchute_daemon.senders import Request
from urllib3 import HTTPHeaderDict


def _digest(
    method: str = "POST",
    target: str = "/loan/1?x=1",
    body: bytes = b"book",
    host: str = "a.example",
    **headers: str,
) -> str:
    request = Request(method, target, HTTPHeaderDict(headers), body)
    return fingerprint(host, "", request)


def test_same_request_again() -> None:
    """Know a request again whatever its attempt's own headers say."""
    assert _digest(Deadline="900") == _digest(Deadline="300")
    assert _digest(host="A.example") == _digest()


def test_other_requests() -> None:
    """Tell requests apart that ask something else."""
    others = [
        _digest(method="PUT"),
        _digest(target="/loan/2?x=1"),
        _digest(target="/loan/1?x=2"),
        _digest(body=b"atlas"),
        _digest(host="b.example"),
        _digest(Authorization="Basic bWVtYmVy"),
        _digest(Cookie="member=1"),
    ]
    assert len({_digest(), *others}) == 1 + len(others)
