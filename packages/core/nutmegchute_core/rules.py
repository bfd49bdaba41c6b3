"""Read services and their rules for requests from declarations."""

from typing import Any

PRIORITIES = ("interactive", "action", "background")

DEFAULT_DEADLINE_MS = 2000
DEFAULT_SLOTS = 2
DEFAULT_QUEUE = 64
DEFAULT_PROBES_PER_S = 0.0
DEFAULT_PROBE_PATH = "/load"
DEFAULT_MOST_ENTRIES = 17
DEFAULT_WARM_UP_S = 0.0


class Rule:
    """Hold how one class of requests is sent, retried and prioritised."""

    __slots__ = (
        "_anonymous",
        "_attempts",
        "_deadline_s",
        "_hedge",
        "_idempotent",
        "_method",
        "_name",
        "_objective_s",
        "_path_prefix",
        "_priority",
    )

    def __init__(self, document: dict[str, Any]) -> None:
        self._name: str = document["name"]
        self._method: str | None = document.get("method")
        self._path_prefix: str = document.get("path_prefix", "/")
        self._idempotent: bool = document["idempotent"]
        self._priority: str = document.get("priority", PRIORITIES[0])
        deadline_ms: float = document.get("deadline_ms", DEFAULT_DEADLINE_MS)
        self._deadline_s = deadline_ms / 1000
        objective_ms: float = document.get("objective_ms") or deadline_ms
        self._objective_s = objective_ms / 1000
        self._attempts: int = document.get("attempts", 2)
        self._hedge: bool = document.get("hedge", False)
        self._anonymous: bool = document.get("anonymous", False)

    @property
    def name(self) -> str:
        """Return the name of the class of requests."""
        return self._name

    @property
    def idempotent(self) -> bool:
        """Return whether running a request twice is harmless."""
        return self._idempotent

    @property
    def priority(self) -> str:
        """Return the priority, one of PRIORITIES."""
        return self._priority

    @property
    def deadline_s(self) -> float:
        """Return the time after which an answer is useless, in seconds."""
        return self._deadline_s

    @property
    def objective_s(self) -> float:
        """Return the target time of an answer, in seconds."""
        return self._objective_s

    @property
    def attempts(self) -> int:
        """Return the maximum number of sends per call, including the first."""
        return self._attempts

    @property
    def anonymous(self) -> bool:
        """Return whether calls need no organisation's key."""
        return self._anonymous

    @property
    def hedge(self) -> bool:
        """Return whether a call may be hedged with a second send."""
        return self._hedge and self._idempotent

    def matches(self, method: str, path: str) -> bool:
        """Return whether the rule covers the method and path."""
        if self._method is not None and self._method != method:
            return False
        return path.startswith(self._path_prefix)


class Service:
    """Hold a team's declaration of one service."""

    __slots__ = (
        "_connections",
        "_key_sha256",
        "_most_entries",
        "_name",
        "_probe_path",
        "_probes_per_s",
        "_queue",
        "_rules",
        "_slots",
        "_warm_up_per_s",
        "_warm_up_s",
    )

    def __init__(self, name: str, document: dict[str, Any]) -> None:
        self._name = name
        self._slots: int = document.get("slots", DEFAULT_SLOTS)
        self._queue: int = document.get("queue", DEFAULT_QUEUE)
        self._probes_per_s: float = document.get(
            "probes_per_s", DEFAULT_PROBES_PER_S
        )
        self._probe_path: str = document.get("probe_path", DEFAULT_PROBE_PATH)
        self._most_entries: int = document.get(
            "most_entries", DEFAULT_MOST_ENTRIES
        )
        self._key_sha256: str | None = document.get("key_sha256")
        self._connections: int | None = document.get("connections")
        self._warm_up_per_s: float | None = document.get("warm_up_per_s")
        self._warm_up_s: float = document.get("warm_up_s", DEFAULT_WARM_UP_S)
        self._rules = [Rule(rule) for rule in document.get("rules", [])]

    @property
    def name(self) -> str:
        """Return the name of the service."""
        return self._name

    @property
    def slots(self) -> int:
        """Return the number of calls an endpoint runs concurrently."""
        return self._slots

    @property
    def queue(self) -> int:
        """Return the maximum number of calls that an entry queues."""
        return self._queue

    @property
    def probes_per_s(self) -> float:
        """Return the probe budget over all entries, in probes a second."""
        return self._probes_per_s

    @property
    def probe_path(self) -> str:
        """Return the path at which an endpoint reports its load."""
        return self._probe_path

    @property
    def most_entries(self) -> int:
        """Return the maximum number of entries that share the probe budget."""
        return self._most_entries

    @property
    def key_sha256(self) -> str | None:
        """Return the digest of the key that announcements must carry."""
        return self._key_sha256

    @property
    def connections(self) -> int | None:
        """Return the maximum number of connections to an endpoint in total."""
        return self._connections

    @property
    def warm_up_per_s(self) -> float | None:
        """Return the maximum calls a second to a cold endpoint, if any."""
        return self._warm_up_per_s

    @property
    def warm_up_s(self) -> float:
        """Return how long an endpoint is cold after a start, in seconds."""
        return self._warm_up_s

    @property
    def rules(self) -> list[Rule]:
        """Return the rules; the first that matches applies."""
        return self._rules

    def rule_for(self, method: str, path: str) -> Rule | None:
        """Return the first rule that covers the request, if any."""
        for rule in self._rules:
            if rule.matches(method, path):
                return rule
        return None


def read_services(documents: dict[str, Any]) -> dict[str, Service]:
    """Build every service that a checked tree declares."""
    services: dict[str, Service] = {}
    for team in sorted(documents):
        for name, document in documents[team]["services"].items():
            services[name] = Service(name, document)
    return services


class CallerLimits:
    """Bound the size of requests and the idle time of connections.

    None stands for the entry's default.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_s", "idle_s")

    def __init__(self, document: dict[str, Any]) -> None:
        self.header_bytes: int | None = document.get("header_bytes")
        self.body_bytes: int | None = document.get("body_bytes")
        header_ms: float | None = document.get("header_timeout_ms")
        self.header_s = None if header_ms is None else header_ms / 1000
        idle_ms: float | None = document.get("idle_timeout_ms")
        self.idle_s = None if idle_ms is None else idle_ms / 1000


def read_limits(documents: dict[str, Any]) -> CallerLimits:
    """Read the limits of a checked tree; the last team takes precedence."""
    merged: dict[str, Any] = {}
    for team in sorted(documents):
        merged.update(documents[team].get("limits", {}))
    return CallerLimits(merged)
