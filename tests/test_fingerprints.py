"""Test that fingerprints identify repetitions of a request."""

from nutmegchute_daemon.fingerprints import fingerprint
from nutmegchute_daemon.senders import Request
from urllib3 import HTTPHeaderDict


def _fingerprint(
    method: str = "POST",
    target: str = "/loan/1?x=1",
    body: bytes = b"book",
    host: str = "a.example",
    **headers: str,
) -> str:
    request = Request(method, target, HTTPHeaderDict(headers), body)
    return fingerprint(host, "", request)


def test_repeated_request_has_the_same_fingerprint() -> None:
    """Ignore headers that differ between attempts, and the host's case."""
    assert _fingerprint(Deadline="900") == _fingerprint(Deadline="300")
    assert _fingerprint(host="A.example") == _fingerprint()


def test_other_requests_have_other_fingerprints() -> None:
    """Compute different fingerprints for different requests and callers."""
    others = [
        _fingerprint(method="PUT"),
        _fingerprint(target="/loan/2?x=1"),
        _fingerprint(target="/loan/1?x=2"),
        _fingerprint(body=b"atlas"),
        _fingerprint(host="b.example"),
        _fingerprint(Authorization="Basic bWVtYmVy"),
        _fingerprint(Cookie="member=1"),
    ]
    assert len({_fingerprint(), *others}) == 1 + len(others)
