"""Find the route of a request and the service that receives it."""

from typing import Any

from .rules import PRIORITIES
from .rules import Rule

# Bytes of a request body that are read before an endpoint is chosen. They can
# be resent to a second endpoint if the first one sheds the call, and a slowly
# arriving body does not occupy a slot meanwhile; the rest is streamed. Each
# of the 40 concurrent calls of an entry may buffer that much: with fifty
# bodies of 16 MiB at once its process grew from 42 to 90 MiB
# (make bench-bodies), and ten callers were refused.
BUFFER_BYTES = 65536
LARGE_BUFFER_BYTES = 1024 * 1024

# Conjugate of the golden ratio: steps of this length cover the unit interval
# more evenly than any other.
GOLDEN_STEP = 0.6180339887498949


class Route:
    """Map requests for a host and path prefix to services and a rule."""

    __slots__ = (
        "_buffer_bytes",
        "_host",
        "_name",
        "_parts",
        "_path_prefix",
        "_point",
        "_rule",
    )

    def __init__(
        self, name: str, document: dict[str, Any], phase: float
    ) -> None:
        self._name = name
        self._host: str = document["host"].lower()
        self._path_prefix: str = document["path_prefix"]
        large = document.get("large_bodies", False)
        self._buffer_bytes = LARGE_BUFFER_BYTES if large else BUFFER_BYTES
        self._rule = _rule(name, document)
        self._parts = _parts(document)
        self._point = phase

    @property
    def name(self) -> str:
        """Return the name of the route."""
        return self._name

    @property
    def host(self) -> str:
        """Return the host name in lower case."""
        return self._host

    @property
    def path_prefix(self) -> str:
        """Return the prefix of the paths that the route covers."""
        return self._path_prefix

    @property
    def buffer_bytes(self) -> int:
        """Return how much of a body is buffered to be resent, in bytes."""
        return self._buffer_bytes

    @property
    def rule(self) -> Rule:
        """Return the rule that applies to the requests."""
        return self._rule

    @property
    def first_service(self) -> str:
        """Return the service of the first part."""
        return self._parts[0][0]

    def choose(self) -> str:
        """Return the service of the next request.

        In any run of requests each part gets its share to within one or two
        requests, so that splits hold even for an entry with few requests. A
        random choice would be off by five in a hundred requests.
        """
        if len(self._parts) == 1:
            return self._parts[0][0]
        self._point = (self._point + GOLDEN_STEP) % 1.0
        for service, until in self._parts:
            if self._point < until:
                return service
        return self._parts[-1][0]


class RouteTable:
    """Find routes by host and the longest prefix of the path."""

    __slots__ = ("_hosts",)

    def __init__(self, routes: list[Route]) -> None:
        self._hosts: dict[str, list[Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, []).append(route)
        for found in self._hosts.values():
            found.sort(key=lambda one: len(one.path_prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, if any."""
        name = host.partition(":")[0].lower()
        for route in self._hosts.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def read_routes(documents: dict[str, Any], phase: float) -> list[Route]:
    """Build every route that a checked tree declares.

    ``phase`` is from 0 to 1 and differs between entries. If all of them began
    a split with the same part, a route with few requests would use only that.
    """
    routes = []
    for team in sorted(documents):
        for name, document in documents[team].get("routes", {}).items():
            routes.append(Route(name, document, phase))
    return routes


def _rule(name: str, document: dict[str, Any]) -> Rule:
    rank = min(document.get("priority", 0), len(PRIORITIES) - 1)
    return Rule(
        {
            "name": name,
            "idempotent": document["idempotent"],
            "priority": PRIORITIES[rank],
            "deadline_ms": document["timeout_ms"],
            "objective_ms": document.get("objective_ms"),
            "attempts": document.get("attempts", 1),
            "hedge": document["idempotent"],
            "anonymous": document.get("anonymous", False),
        }
    )


def _parts(document: dict[str, Any]) -> list[tuple[str, float]]:
    """Return the services, each with the end of its part of [0, 1]."""
    if "split" not in document:
        return [(document["service"], 1.0)]
    total = sum(part["weight"] for part in document["split"])
    parts = []
    until = 0.0
    for part in document["split"]:
        if part["weight"] <= 0:
            continue
        until += part["weight"] / total
        parts.append((part["service"], until))
    return parts or [(document["split"][0]["service"], 1.0)]
