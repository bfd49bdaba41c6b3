"""Run the operators' pages on CherryPy.

Apart from the HTTP server, so that a role without pages does not load it:
of the time in which a daemon is back after a loss of power, loading takes
the most.
"""

from collections.abc import Callable
from typing import Any

import cherrypy

from .handlers import plain_error

Application = Callable[..., Any]


def open_pages(root: object) -> Application:
    """Mount a CherryPy object at the root; return what serves it."""
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "tools.encode.on": False,
            "error_page.default": plain_error,
        }
    )
    # CherryPy's own server would listen on its default port as well, and a
    # second daemon on the vm would end without a word.
    cherrypy.server.unsubscribe()
    cherrypy.tree.mount(root, "/", {"/": {"tools.gzip.on": False}})
    application: Application = cherrypy.tree
    return application


def start_pages() -> None:
    """Start what CherryPy runs beside the pages, once they are served."""
    cherrypy.engine.start()


def close_pages() -> None:
    """Let CherryPy end what it runs beside the pages."""
    cherrypy.engine.exit()
    cherrypy.tree.apps.clear()
