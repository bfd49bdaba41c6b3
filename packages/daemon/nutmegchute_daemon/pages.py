"""Serve the list of entries and the status of an entry over HTTP."""

from typing import Any
from typing import Protocol

import cherrypy
from nutmegchute_core.directories import PublicEntry

from .drains import DrainPage
from .handlers import as_json
from .servers import LoopRunner


class PageSource(Protocol):
    """Provide the contents of the pages; called on the event loop."""

    def usable_entries(self, zone: str | None) -> list[PublicEntry]:
        """Choose the entries that a caller should use."""

    def status(self) -> dict[str, Any]:
        """Return the state of this entry for operators."""


class EntryPages:
    """Serve the list of entries and the status of an entry over HTTP."""

    drain: DrainPage

    def __init__(
        self, daemon: PageSource, runner: LoopRunner, keep_s: float
    ) -> None:
        self._daemon = daemon
        self._runner = runner
        self._keep_s = keep_s

    @cherrypy.expose
    def entries(self, availability_zone: str | None = None) -> bytes:
        """Return the entries to use and how long to cache them."""
        usable = self._runner.run_sync(
            self._daemon.usable_entries, availability_zone
        )
        return as_json({"entries": usable, "keep_s": self._keep_s})

    @cherrypy.expose
    def status(self) -> bytes:
        """Return the state of this entry."""
        return as_json(self._runner.run_sync(self._daemon.status))
