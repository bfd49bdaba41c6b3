"""Simulate a control replica for tests of the command line."""

import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any

import msgspec
from nutmegchute_core.errors import EvacuationError
from nutmegchute_core.evacuations import check_zone
from nutmegchute_core.evacuations import EvacuationOrder
from nutmegchute_core.evacuations import Evacuations
from nutmegchute_core.organisations import mask_documents
from nutmegchute_core.trees import Answer
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import Tree

OPERATOR_HEADER = "Nutmegchute-Operator"
ANSWER_LOST = "answer lost"
REQUEST_LOST = "never arrived"
CONCURRENT_CHANGE = "another operator first"

POLL_INTERVAL_S = 0.01


class FakeControl:
    """Serve a configuration tree over HTTP, with injected faults.

    Tests set the state. Each POST takes the first of ``faults``.
    """

    def __init__(self, operators: dict[str, str]) -> None:
        self.tree = Tree()
        self.operators = operators
        self.faults: list[str] = []
        self.state = "leader"
        self.in_force = True
        # Whether the tree is served as to callers that are no operators.
        self.masks_keys = False
        self.entries: dict[str, int] = {}
        self.waiting: list[dict[str, Any]] = []
        self.replicas: list[dict[str, Any]] = []
        self.quarantine: list[dict[str, Any]] = []
        self.evacuations = Evacuations()
        self.posts: list[tuple[str, Any]] = []
        self.concurrent_change: Callable[[], object] = lambda: None
        self._index = 0
        self._server = ThreadingHTTPServer(
            ("127.0.0.1", 0), _build_handler_class(self)
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(POLL_INTERVAL_S,)
        )
        self._thread.start()

    def change(self, operator: str, team: str, document: Any) -> Answer:
        """Change a branch directly in the tree, from its latest revision."""
        base = self.tree.revisions.get(team, 0)
        self._index += 1
        change = Change(
            change_id=f"past-{self._index}",
            operator=operator,
            bases={team: base},
            documents={team: document},
            at_unix_s=0.0,
        )
        return self.tree.apply(self._index, change)

    @property
    def address(self) -> str:
        """Return the HTTP address."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def stop(self) -> None:
        """Stop the HTTP server."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()

    def get_page(self, path: str) -> Any:
        """Return the answer to a GET; None for an unknown path."""
        tree: dict[str, Any] = {
            "index": self.tree.index,
            "revisions": self.tree.revisions,
            "documents": self.tree.documents,
        }
        if self.masks_keys:
            tree["documents"] = mask_documents(self.tree.documents)
            tree["masked"] = True
        pages = {
            "/tree": tree,
            "/audit": self.tree.audit,
            "/replicas": {
                "replicas": self.replicas,
                "waiting": self.waiting,
            },
            "/quarantine": self.quarantine,
            "/evacuations": self.evacuations.evacuations,
            "/status": {
                "name": "control-1",
                "state": self.state,
                "leader": "control-1",
                "term": 1,
                "commit": self._index,
                "index": self.tree.index,
                "entries": self.entries,
                "in_force": self.in_force,
            },
        }
        return pages.get(path)

    def handle_post(self, path: str, key: str, body: Any) -> tuple[int, Any]:
        """Apply a POST; return the HTTP status and the answer."""
        operator = self.operators.get(key)
        if operator is None:
            return 401, "no operator has this key"
        fault = self.faults.pop(0) if self.faults else ""
        if fault == REQUEST_LOST:
            return 503, "no leader"
        if fault == CONCURRENT_CHANGE:
            self.concurrent_change()
        self.posts.append((path, body))
        answer: Any = {"outcome": "accepted", "detail": "done"}
        if path == "/quarantine":
            before = len(self.quarantine)
            self.quarantine = [
                one
                for one in self.quarantine
                if one["fingerprint"] != body["fingerprint"]
            ]
            if len(self.quarantine) == before:
                answer = {"outcome": "unknown", "detail": "no such request"}
        if path == "/evacuations":
            order = EvacuationOrder(operator=operator, at_unix_s=0.0, **body)
            try:
                check_zone(order.availability_zone)
            except EvacuationError as error:
                return 400, str(error)
            self._index += 1
            self.evacuations.apply(self._index, order)
            answer["detail"] = order.describe()
        if path == "/changes":
            self._index += 1
            change = Change(operator=operator, at_unix_s=0.0, **body)
            answer = self.tree.apply(self._index, change)
        if fault == ANSWER_LOST:
            return 504, "outcome not known"
        return 200, answer


def _build_handler_class(control: FakeControl) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            page = control.get_page(self.path.partition("?")[0])
            self._answer(404 if page is None else 200, page)

        def do_POST(self) -> None:
            length = int(self.headers["Content-Length"])
            body = msgspec.json.decode(self.rfile.read(length))
            key = self.headers.get(OPERATOR_HEADER, "")
            self._answer(*control.handle_post(self.path, key, body))

        def log_message(self, format: str, *args: Any) -> None:
            """Log nothing, so that the test output stays short."""

        def _answer(self, status: int, value: Any) -> None:
            data = value if isinstance(value, str) else ""
            body = data.encode() or msgspec.json.encode(value)
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    return Handler
