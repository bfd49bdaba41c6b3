"""Find the route of a request and the service that it goes to."""

from typing import Any

from .rules import PRIORITIES
from .rules import Rule

# How much of a request's body is read before an endpoint is chosen. What is
# kept can be sent to a second endpoint if the first one sheds it, and no slot
# is held for a body that trickles in; the rest passes through as it comes.
# Each of the 40 calls that an entry takes at once may hold that much: with
# fifty bodies of 16 MiB at once its process grew from 42 to 90 MiB (make
# bench-bodies), and ten callers were refused.
BUFFER_BYTES = 65536
LARGE_BUFFER_BYTES = 1024 * 1024

# Steps of this length fill the unit interval more evenly than any other.
GOLDEN_SHARE = 0.6180339887498949


class Route:
    """Say where requests for a host and path go, and by which rule."""

    __slots__ = (
        "_host",
        "_buffer_bytes",
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
        """Name the route."""
        return self._name

    @property
    def host(self) -> str:
        """Return the host, in small letters."""
        return self._host

    @property
    def path_prefix(self) -> str:
        """Return the beginning of the paths it covers."""
        return self._path_prefix

    @property
    def buffer_bytes(self) -> int:
        """Return how much of a body is kept, to be sent once more."""
        return self._buffer_bytes

    @property
    def rule(self) -> Rule:
        """Return the rule its requests fall under."""
        return self._rule

    def choose(self) -> str:
        """Return the service of the next request.

        Each part gets its share of any run of requests to within one or
        two, so that shares hold over the few that one entry sees; drawn
        at random, an entry's hundred would miss by five in a hundred.
        """
        if len(self._parts) == 1:
            return self._parts[0][0]
        self._point = (self._point + GOLDEN_SHARE) % 1.0
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

    ``phase`` is from 0 to 1 and differs between entries: were all splits
    to begin with the same part, a quiet route would reach no other.
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
        }
    )


def _parts(document: dict[str, Any]) -> list[tuple[str, float]]:
    """List services, each with where its part of the unit interval ends."""
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
