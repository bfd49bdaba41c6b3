"""Receive the announcements of upstreams over HTTP."""

import hashlib
import hmac
import ipaddress
from collections.abc import Callable
from typing import Any

import msgspec
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import LEASE_S
from nutmegchute_core.rosters import ANNOUNCE_RETRY_S
from nutmegchute_core.rosters import CHANGED
from nutmegchute_core.rosters import FULL
from nutmegchute_core.rosters import PAUSED
from nutmegchute_core.rosters import Roster
from nutmegchute_core.rosters import STALE
from nutmegchute_core.rules import Service

from .errors import DaemonError
from .events import Event
from .events import log
from .exchanges import BadBodyError
from .exchanges import Body
from .exchanges import StrictRequest
from .protocols import SERVICE_KEY_HEADER
from .servers import LoopRunner

ANNOUNCE_PATH = b"/announce"
MAX_ANNOUNCEMENT_BYTES = 4096
MAX_KEY_BYTES = 256
REFRESHES_PER_LEASE = 3

_DECODER = msgspec.json.Decoder(Announcement)


RecordAnnouncement = Callable[[Announcement, str], dict[str, float]]


class AnnouncementError(DaemonError):
    """Report why an announcement is refused, with the HTTP status.

    ``fields`` are added to the answer beside the reason.
    """

    __slots__ = ("_fields", "_retry_after_s", "_status")

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **fields: Any,
    ) -> None:
        super().__init__(reason)
        self._status = status
        self._retry_after_s = retry_after_s
        self._fields = fields

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self._status

    @property
    def retry_after_s(self) -> float | None:
        """Return the seconds before a retry, None if a retry is useless."""
        return self._retry_after_s

    @property
    def fields(self) -> dict[str, Any]:
        """Return further fields of the answer, which the upstream may use."""
        return self._fields


class Announcements:
    """Check announcements and record them; use on the event loop only."""

    __slots__ = ("_members", "_services")

    def __init__(self, members: Roster) -> None:
        self._members = members
        self._services: dict[str, Service] | None = None

    def configure(self, services: dict[str, Service]) -> None:
        """Apply the services that the configuration in force declares."""
        self._services = services

    def record(
        self, announcement: Announcement, key: str, now: float
    ) -> dict[str, float]:
        """Record an endpoint's announcement; return its lease.

        :raises AnnouncementError: it is refused
        """
        self._check_key(announcement, key)
        outcome = self._members.announce(announcement, now)
        if outcome == STALE:
            floor = self._members.floor(announcement.key)
            raise AnnouncementError(
                409,
                "a newer process has announced this endpoint; "
                f"incarnation must be at least {floor}",
                incarnation=floor,
            )
        if outcome == FULL:
            raise AnnouncementError(
                503, "too many endpoints", ANNOUNCE_RETRY_S
            )
        if outcome == PAUSED:
            raise AnnouncementError(503, "entry was paused", ANNOUNCE_RETRY_S)
        if outcome == CHANGED:
            log(
                Event.UPSTREAM_ANNOUNCED,
                service=announcement.service,
                endpoint=announcement.endpoint,
                state=announcement.state,
            )
        return {"lease_s": LEASE_S, "refresh_s": LEASE_S / REFRESHES_PER_LEASE}

    def _check_key(self, announcement: Announcement, key: str) -> None:
        if self._services is None:
            raise AnnouncementError(
                503, "no configuration in force yet", ANNOUNCE_RETRY_S
            )
        service = self._services.get(announcement.service)
        if service is None:
            raise AnnouncementError(
                404, f"service {announcement.service!r} is not declared"
            )
        if service.key_sha256 is None:
            return
        if not key:
            raise AnnouncementError(
                401, f"service {service.name!r} asks for its key"
            )
        digest = hashlib.sha256(key.encode()).hexdigest()
        if hmac.compare_digest(digest, service.key_sha256):
            return
        raise AnnouncementError(
            403, f"the key does not open service {service.name!r}"
        )


class AnnouncementHandler:
    """Answer announcements on the HTTP server's worker threads.

    CherryPy's dispatch is bypassed: with hundreds of endpoints,
    announcements are most of the work of an entry without calls.
    """

    __slots__ = ("_record", "_runner")

    def __init__(self, runner: LoopRunner, record: RecordAnnouncement) -> None:
        self._runner = runner
        self._record = record

    def __call__(self, http: StrictRequest) -> None:
        """Answer one announcement."""
        try:
            status, answer = 200, self._handle(http)
        except AnnouncementError as error:
            status = error.status
            answer = {"reason": str(error), **error.fields}
            if error.retry_after_s is not None:
                http.outheaders.append((b"Retry-After", b"1"))
        body = msgspec.json.encode(answer)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        http.begin(status, headers)
        http.write(body)

    def _handle(self, http: StrictRequest) -> dict[str, Any]:
        if http.uri.partition(b"?")[0] != ANNOUNCE_PATH:
            raise AnnouncementError(404, "no such page")
        if http.method != b"POST":
            raise AnnouncementError(405, "announcements are posted")
        announcement = parse_announcement(_read_body(http))
        name = SERVICE_KEY_HEADER.encode()
        key = http.inheaders.get(name, b"")[:MAX_KEY_BYTES].decode("latin-1")
        return dict(self._runner.run_sync(self._record, announcement, key))


def _read_body(http: StrictRequest) -> bytes:
    try:
        return Body(http, MAX_ANNOUNCEMENT_BYTES).read_all()
    except BadBodyError as error:
        http.close_connection = True
        raise AnnouncementError(
            error.status, str(error), error.retry_after_s or None
        ) from error


def parse_announcement(body: bytes) -> Announcement:
    """Parse an announcement.

    :raises AnnouncementError: it is malformed; the reason names the field
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        raise AnnouncementError(
            413, f"announcement is larger than {MAX_ANNOUNCEMENT_BYTES} bytes"
        )
    try:
        announcement = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise AnnouncementError(400, str(error)) from error
    host, _, port = announcement.endpoint.rpartition(":")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise AnnouncementError(400, f"endpoint: {error}") from error
    if not 0 < int(port) < 65536 or not _is_host_address(address):
        raise AnnouncementError(400, "endpoint: no such address and port")
    return announcement


def _is_host_address(address: ipaddress.IPv4Address) -> bool:
    return not (address.is_multicast or address.is_unspecified)
