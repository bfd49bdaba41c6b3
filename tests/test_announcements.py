"""Check which announcements are accepted and why others are refused."""

import hashlib
from typing import Any

import msgspec
import pytest
from nutmegchute_core.rosters import Roster
from nutmegchute_core.rules import Service
from nutmegchute_daemon.announcements import AnnouncementError
from nutmegchute_daemon.announcements import Announcements
from nutmegchute_daemon.announcements import MAX_ANNOUNCEMENT_BYTES
from nutmegchute_daemon.announcements import parse_announcement
from support import announcement
from support import rule

KEY = "the service's key"
A = "10.0.0.1:80"


@pytest.fixture
def announcements() -> Announcements:
    """Declare "catalogo" with a key and "prestamos" without."""
    found = Announcements(Roster(1))
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    keyed = {"key_sha256": digest, "rules": [rule()]}
    found.configure(
        {
            "catalogo": Service("catalogo", keyed),
            "prestamos": Service("prestamos", {"rules": [rule()]}),
        }
    )
    return found


@pytest.mark.parametrize(
    ("service", "key", "status"),
    [
        ("catalogo", "", 401),
        ("catalogo", "another key", 403),
        ("catalogo", "kéy", 403),
        ("nowhere", KEY, 404),
    ],
)
def test_unauthorized_announcement_is_refused(
    announcements: Announcements, service: str, key: str, status: int
) -> None:
    """Refuse announcements without the service's key.

    Otherwise anyone could announce an address of their own and receive the
    service's calls.
    """
    announced = announcement(A, service=service)
    with pytest.raises(AnnouncementError) as raised:
        announcements.record(announced, key, 0.0)
    assert raised.value.status == status
    assert service in str(raised.value)
    assert announcements._members.live(0.0) == []


def test_key_of_the_service_is_accepted(announcements: Announcements) -> None:
    """Accept the right key, and no key where none is required."""
    lease = announcements.record(announcement(A), KEY, 0.0)
    assert lease["refresh_s"] < lease["lease_s"]
    announcements.record(announcement(A, service="prestamos"), "", 0.0)
    assert len(announcements._members.live(0.0)) == 2


def test_older_incarnation_is_refused_with_the_floor(
    announcements: Announcements,
) -> None:
    """Return the lowest incarnation that would be accepted."""
    announcements.record(announcement(A, incarnation=9), KEY, 0.0)
    with pytest.raises(AnnouncementError) as raised:
        announcements.record(announcement(A, incarnation=3), KEY, 0.1)
    assert raised.value.status == 409
    assert raised.value.fields == {"incarnation": 9}


def test_announcement_before_the_configuration_is_to_be_retried() -> None:
    """Send a retry delay while no configuration is in force."""
    with pytest.raises(AnnouncementError) as raised:
        Announcements(Roster(1)).record(announcement(A), KEY, 0.0)
    assert raised.value.status == 503
    assert raised.value.retry_after_s


@pytest.mark.parametrize(
    "values",
    [
        {"endpoint": "10.0.0.256:80"},
        {"endpoint": "10.0.0.1:0"},
        {"endpoint": "10.0.0.1:65536"},
        {"endpoint": "upstream.example:80"},
        {"endpoint": "0.0.0.0:80"},
        {"endpoint": "10.0.0.1:80/path"},
        {"slots": 0},
        {"slots": 10**6},
        {"slots": "2"},
        {"incarnation": -1},
        {"incarnation": 2**63},
        {"state": "gone"},
        {"availability_zone": "a\r\nb"},
        {"service": "x" * 64},
        {"service": None},
    ],
)
def test_invalid_field_is_refused(values: dict[str, Any]) -> None:
    """Refuse an invalid field with a reason."""
    document = {**msgspec.to_builtins(announcement(A)), **values}
    with pytest.raises(AnnouncementError) as raised:
        parse_announcement(msgspec.json.encode(document))
    assert raised.value.status == 400
    assert str(raised.value)


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"", 400),
        (b"{", 400),
        (b"[]", 400),
        (b"\xff\xfe", 400),
        (b'{"service": "\xff"}', 400),
        (b" " * (MAX_ANNOUNCEMENT_BYTES + 1), 413),
    ],
)
def test_malformed_body_is_refused(body: bytes, status: int) -> None:
    """Refuse a body that is no announcement."""
    with pytest.raises(AnnouncementError) as raised:
        parse_announcement(body)
    assert raised.value.status == status
