"""Test that endpoints get no more calls than they ask for."""

import pytest
from nutmegchute_platform.calls import PlatformCalls
from urllib3 import HTTPHeaderDict


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        ("2.6", 2.6),
        ("0", 0.0),
        ("12", 12.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("2.6, 1.4", None),
        ("soon", None),
    ],
)
def test_malformed_rate_limits_are_ignored(
    text: str, limit: float | None
) -> None:
    """Guard against headers that would stop all calls to an endpoint."""
    headers = HTTPHeaderDict({"Server-Limit": text})
    assert PlatformCalls().rate_limit(headers) == limit
    assert PlatformCalls().rate_limit(HTTPHeaderDict()) is None
