"""Answer callers' and upstreams' questions over HTTP."""

from typing import Any
from typing import Protocol

import cherrypy
import msgspec
from nutmegchute_core.directories import EntryWord
from nutmegchute_core.members import Announcement

from .announcements import ANNOUNCEMENT_BYTES
from .announcements import AnnouncementError
from .announcements import KEY_BYTES
from .announcements import read_announcement
from .drains import DrainPage
from .protocols import SERVICE_KEY_HEADER
from .servers import LoopAsker


class Answerer(Protocol):
    """Describe what the entry's loop answers to pages."""

    def announce(
        self, announcement: Announcement, key: str
    ) -> dict[str, float]:
        """Take an endpoint's word; return its lease.

        :raises AnnouncementError: it was not taken
        """

    def usable_entries(self, zone: str | None) -> list[EntryWord]:
        """Choose the entries that a caller should use."""

    def status(self) -> dict[str, Any]:
        """Describe this entry to an operator."""


class EntryPages:
    """Answer callers' and upstreams' questions over HTTP."""

    drain: DrainPage

    def __init__(
        self, daemon: Answerer, asker: LoopAsker, keep_s: float
    ) -> None:
        self._daemon = daemon
        self._asker = asker
        self._keep_s = keep_s

    @cherrypy.expose
    def entries(self, availability_zone: str | None = None) -> bytes:
        """Name the entries to use and how long to keep the answer."""
        words = self._asker.ask(self._daemon.usable_entries, availability_zone)
        return _json({"entries": words, "keep_s": self._keep_s})

    @cherrypy.expose
    def announce(self) -> bytes:
        """Take an upstream's announcement."""
        key = cherrypy.request.headers.get(SERVICE_KEY_HEADER, "")
        body = cherrypy.request.body.read(ANNOUNCEMENT_BYTES + 1)
        try:
            announcement = read_announcement(body)
            lease = self._asker.ask(
                self._daemon.announce, announcement, key[:KEY_BYTES]
            )
        except AnnouncementError as error:
            cherrypy.response.status = error.status
            if error.retry_after_s is not None:
                cherrypy.response.headers["Retry-After"] = "1"
            return _json({"reason": str(error), **error.fields})
        return _json(lease)

    @cherrypy.expose
    def status(self) -> bytes:
        """Describe this entry."""
        return _json(self._asker.ask(self._daemon.status))


def _json(value: Any) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)
