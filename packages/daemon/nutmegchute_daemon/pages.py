"""Answer callers' and upstreams' questions over HTTP."""

from typing import Any
from typing import Protocol

import cherrypy
import msgspec
from nutmegchute_core.directories import EntryWord
from nutmegchute_core.members import Announcement

from .servers import LoopAsker

REFRESH_SHARE = 3
ANNOUNCEMENT_BYTES = 65536


class Answerer(Protocol):
    """Describe what the entry's loop answers to pages."""

    def announce(self, announcement: Announcement) -> float:
        """Take an endpoint's word; return the lease, in seconds."""

    def usable_entries(self, zone: str | None) -> list[EntryWord]:
        """Choose the entries that a caller should use."""

    def status(self) -> dict[str, Any]:
        """Describe this entry to an operator."""


class EntryPages:
    """Answer callers' and upstreams' questions over HTTP."""

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
        body = cherrypy.request.body.read(ANNOUNCEMENT_BYTES)
        try:
            announcement = msgspec.json.decode(body, type=Announcement)
        except msgspec.DecodeError as error:
            raise cherrypy.HTTPError(400, str(error)) from error
        lease_s = self._asker.ask(self._daemon.announce, announcement)
        return _json(
            {"lease_s": lease_s, "refresh_s": lease_s / REFRESH_SHARE}
        )

    @cherrypy.expose
    def status(self) -> bytes:
        """Describe this entry."""
        return _json(self._asker.ask(self._daemon.status))


def _json(value: Any) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)
