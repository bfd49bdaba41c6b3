"""Answer callers' and upstreams' questions over HTTP."""

from typing import Any
from typing import Protocol

import cherrypy
from nutmegchute_core.directories import EntryInfo

from .drains import DrainPage
from .handlers import as_json
from .servers import LoopRunner


class Answerer(Protocol):
    """Describe what the entry's loop answers to pages."""

    def usable_entries(self, zone: str | None) -> list[EntryInfo]:
        """Choose the entries that a caller should use."""

    def status(self) -> dict[str, Any]:
        """Describe this entry to an operator."""


class EntryPages:
    """Answer callers' and upstreams' questions over HTTP."""

    drain: DrainPage

    def __init__(
        self, daemon: Answerer, runner: LoopRunner, keep_s: float
    ) -> None:
        self._daemon = daemon
        self._runner = runner
        self._keep_s = keep_s

    @cherrypy.expose
    def entries(self, availability_zone: str | None = None) -> bytes:
        """Name the entries to use and how long to keep the answer."""
        words = self._runner.run_sync(
            self._daemon.usable_entries, availability_zone
        )
        return as_json({"entries": words, "keep_s": self._keep_s})

    @cherrypy.expose
    def status(self) -> bytes:
        """Describe this entry."""
        return as_json(self._runner.run_sync(self._daemon.status))
