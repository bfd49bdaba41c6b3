"""Serve the operators' pages with CherryPy.

This is separate from the HTTP server, so that a role without pages does not
import CherryPy: imports take most of a daemon's start after a power failure.
"""

from collections.abc import Callable
from typing import Any

import cherrypy

from .handlers import plain_error

Application = Callable[..., Any]


def open_pages(root: object) -> Application:
    """Mount a CherryPy object at the root; return the WSGI application."""
    cherrypy.config.update(
        {
            "environment": "embedded",
            "log.screen": False,
            "tools.encode.on": False,
            "error_page.default": plain_error,
        }
    )
    # CherryPy's own server would also listen on its default port, and a second
    # daemon on the vm would exit without an error message.
    cherrypy.server.unsubscribe()
    # No page takes a form; parsing one would copy the body.
    options = {"tools.gzip.on": False, "request.body.processors": {}}
    cherrypy.tree.mount(root, "/", {"/": options})
    application: Application = cherrypy.tree
    return application


def start_pages() -> None:
    """Start the CherryPy engine, once the pages are served."""
    cherrypy.engine.start()


def close_pages() -> None:
    """Stop the CherryPy engine and unmount the pages."""
    cherrypy.engine.exit()
    cherrypy.tree.apps.clear()
