"""Serve the page that drains an entry, without a login on its vm."""

from collections.abc import Callable

import cherrypy

from .events import Event
from .events import log
from .handlers import as_json
from .handlers import require_operator
from .handlers import require_post
from .servers import LoopRunner
from .settings import Settings

ALL_BRANCHES = "*"


class DrainPage:
    """Start the same graceful stop as SIGTERM."""

    exposed = True

    def __init__(
        self, settings: Settings, runner: LoopRunner, stop: Callable[[], None]
    ) -> None:
        self._settings = settings
        self._runner = runner
        self._stop = stop

    def __call__(self) -> bytes:
        """Drain this entry; a repeated request changes nothing."""
        require_post()
        operator = require_operator(self._settings, self._runner)
        # An entry serves the calls of all teams: a key for one branch must
        # not reduce the capacity of the others.
        if not operator.may_change(ALL_BRANCHES):
            raise cherrypy.HTTPError(
                403, f"{operator.name} may not drain: needs branch '*'"
            )
        self._runner.run_sync(self._begin, operator.name)
        return as_json({"draining": True})

    def _begin(self, operator: str) -> None:
        log(Event.DRAIN_REQUESTED, operator=operator)
        self._stop()
