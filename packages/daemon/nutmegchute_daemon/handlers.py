"""Provide functions for the operators' pages of entry and control."""

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

INTERNAL_ERROR = "500"


class Runner(Protocol):
    """Run functions of page handlers on the event loop."""

    def schedule(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function on the event loop without waiting for it."""


def plain_error(
    status: str, message: str, traceback: str, version: str
) -> str:
    """Return an error page of one plain text line without internals."""
    cherrypy.response.headers["Content-Type"] = "text/plain;charset=utf-8"
    if status.startswith(INTERNAL_ERROR):
        # CherryPy does not report the exception here. Without this line, the
        # operator sees status 500 and nothing records the cause.
        log(Event.CALL_FAILED, "error", trace=format_exc())
    return html.unescape(message) + "\n"


def require_operator(settings: Settings, runner: Runner) -> Operator:
    """Return the operator whose key the request has, or answer 401."""
    key = cherrypy.request.headers.get(OPERATOR_HEADER, "")
    operator = settings.find_operator(key)
    if operator is None:
        # Not in the audit trail: anybody could fill the disks that way.
        runner.schedule(_log_refused_key, cherrypy.request.remote.ip)
        raise cherrypy.HTTPError(401, "no operator has this key")
    return operator


def require_post() -> None:
    """Answer 405 to methods other than POST, as reads must change nothing."""
    if cherrypy.request.method == "POST":
        return
    cherrypy.response.headers["Allow"] = "POST"
    raise cherrypy.HTTPError(405, "use POST")


def as_json(value: Any) -> bytes:
    """Return a value as the JSON body of a page."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)


def _log_refused_key(remote: str) -> None:
    log(Event.KEY_REFUSED, "warning", remote=remote)
