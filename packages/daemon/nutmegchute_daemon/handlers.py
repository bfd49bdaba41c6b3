"""Share what the pages of both roles say and ask."""

import html
from collections.abc import Callable
from traceback import format_exc
from typing import Any
from typing import Protocol

import cherrypy
import msgspec

from .events import Event
from .events import log
from .protocols import OPERATOR_HEADER
from .settings import Operator
from .settings import Settings

FAULT = "500"


class Scheduler(Protocol):
    """Describe how a page reaches the loop."""

    def schedule(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function on the loop without waiting for it."""


def plain_error(
    status: str, message: str, traceback: str, version: str
) -> str:
    """Say what is wrong in one plain line, without program internals."""
    cherrypy.response.headers["Content-Type"] = "text/plain;charset=utf-8"
    if status.startswith(FAULT):
        # CherryPy keeps the reason to itself here; without this line the
        # operator sees a 500 and nothing says why.
        log(Event.CALL_FAILED, "error", trace=format_exc())
    return html.unescape(message) + "\n"


def require_operator(settings: Settings, runner: Scheduler) -> Operator:
    """Return the operator who asks, or answer 401."""
    key = cherrypy.request.headers.get(OPERATOR_HEADER, "")
    operator = settings.find_operator(key)
    if operator is None:
        # Not on the audit trail: anybody could fill the disks with it.
        runner.schedule(_log_refusal, cherrypy.request.remote.ip)
        raise cherrypy.HTTPError(401, "no operator has this key")
    return operator


def require_post() -> None:
    """Answer 405 to anything but POST; a mere look must change nothing."""
    if cherrypy.request.method == "POST":
        return
    cherrypy.response.headers["Allow"] = "POST"
    raise cherrypy.HTTPError(405, "use POST")


def as_json(value: Any) -> bytes:
    """Return a page's body as JSON."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)


def _log_refusal(remote: str) -> None:
    log(Event.KEY_REFUSED, "warning", remote=remote)
