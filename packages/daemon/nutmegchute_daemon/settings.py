"""Read and validate the daemon's settings and apply defaults."""

import hashlib
import hmac
import ipaddress
from pathlib import Path
from typing import Any

import msgspec
from nutmegchute_core.quotas import QuotaTerms
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from .documents import defaults
from .documents import find_error
from .errors import SettingsError

DEFAULTS = defaults()
GRACE_SHARE = 5 / 6
MAX_CONTROL_VMS = 7
LONG_KEEP_S = 60.0


class ControlPeer:
    """Hold the name and addresses of a listed control replica."""

    __slots__ = ("_grpc_address", "_http_address", "_name")

    def __init__(self, document: dict[str, str]) -> None:
        self._name = document["name"]
        self._grpc_address = document["grpc_address"]
        self._http_address = document["http_address"]

    @property
    def name(self) -> str:
        """Return the replica's name."""
        return self._name

    @property
    def grpc_address(self) -> str:
        """Return the address where other daemons reach the replica."""
        return self._grpc_address

    @property
    def http_address(self) -> str:
        """Return the address where operators reach the replica."""
        return self._http_address


class Operator:
    """Hold an operator's name, key digest and permitted branches."""

    __slots__ = ("_branches", "_key_sha256", "_name")

    def __init__(self, document: dict[str, Any]) -> None:
        self._name: str = document["name"]
        self._key_sha256: str = document["key_sha256"]
        self._branches: list[str] = document["branches"]

    @property
    def name(self) -> str:
        """Return the operator's name."""
        return self._name

    @property
    def key_sha256(self) -> str:
        """Return the SHA-256 digest of the operator's key, in hex."""
        return self._key_sha256

    def may_change(self, team: str) -> bool:
        """Return whether the operator may change the team's branch."""
        return "*" in self._branches or team in self._branches


class Settings:
    """Hold validated settings with defaults applied."""

    __slots__ = ("_control", "_operators", "_path", "_values")

    def __init__(
        self, values: dict[str, Any], path: Path | None = None
    ) -> None:
        self._path = path
        self._values = {**DEFAULTS, **values}
        self._control = [ControlPeer(one) for one in self._values["control"]]
        self._operators = [Operator(one) for one in self._values["operators"]]

    @property
    def path(self) -> Path | None:
        """Return the file that the settings were read from, if any."""
        return self._path

    @property
    def role(self) -> str:
        """Return the role: entry, router or control."""
        return str(self._values["role"])

    @property
    def name(self) -> str:
        """Return the daemon's name, unique in the deployment."""
        return str(self._values["name"])

    @property
    def availability_zone(self) -> str:
        """Return the availability zone of the vm."""
        return str(self._values["availability_zone"])

    @property
    def http_address(self) -> str:
        """Return the address for callers, upstreams and operators."""
        return str(self._values["http_address"])

    @property
    def grpc_address(self) -> str:
        """Return the address for other daemons."""
        return str(self._values["grpc_address"])

    @property
    def control(self) -> list[ControlPeer]:
        """Return the listed control replicas."""
        return self._control

    @property
    def entries(self) -> list[str]:
        """Return the gRPC addresses of the entries to gossip with."""
        return list(self._values["entries"])

    @property
    def data_folder(self) -> Path | None:
        """Return the folder of all durable data, if one is set."""
        folder = self._values["data_folder"]
        return Path(folder) if folder is not None else None

    @property
    def operators(self) -> list[Operator]:
        """Return the operators that the settings list."""
        return self._operators

    def find_operator(self, key: str) -> Operator | None:
        """Return the operator with this key, if any."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(operator.key_sha256, digest):
                return operator
        return None

    @property
    def statsd_address(self) -> str | None:
        """Return the UDP address that metrics are sent to, if any."""
        return self._address("statsd_address")

    @property
    def cpus(self) -> list[int]:
        """Return the CPUs the process is restricted to; empty for all."""
        return list(self._values["cpus"])

    @property
    def http_threads(self) -> int:
        """Return the number of HTTP worker threads."""
        return int(self._values["http_threads"])

    @property
    def log_level(self) -> str:
        """Return the lowest level that is logged."""
        return str(self._values["log_level"])

    @property
    def request_body_bytes(self) -> int:
        """Return the largest accepted request body, in bytes."""
        return int(self._values["request_body_bytes"])

    @property
    def memory_bytes(self) -> int:
        """Return the memory that the process may use, in bytes."""
        return int(self._values["memory_bytes"])

    @property
    def open_files(self) -> int | None:
        """Return how many files may be open, None for the system's limit."""
        value = self._values["open_files"]
        return None if value is None else int(value)

    @property
    def entries_keep_s(self) -> float:
        """Return how long callers may cache a list of entries, in seconds."""
        return float(self._values["entries_keep_s"])

    @property
    def shutdown_limit_s(self) -> float:
        """Return the time limit of a graceful shutdown, in seconds.

        Where the vm's service manager kills the process after ``grace_s``,
        the limit is five sixths of it. The remaining time is for answering
        the calls that are aborted.
        """
        if self._values["grace_s"] is not None:
            return float(self._values["grace_s"]) * GRACE_SHARE
        return float(self._values["shutdown_limit_s"])

    @property
    def entries_answer(self) -> int:
        """Return the maximum number of entries in an answer to a caller."""
        return int(self._values["entries_answer"])

    @property
    def seeds(self) -> list[str]:
        """Return the gRPC addresses of the control replicas to try first.

        Only the IP addresses of the seeds are used, with the port of this
        daemon's own ``grpc_address``.
        """
        port = split_address(self.grpc_address)[1]
        return [f"{split_address(one)[0]}:{port}" for one in self._seeds]

    @property
    def _seeds(self) -> list[str]:
        return list(self._values["seeds"])

    @property
    def replicas(self) -> list[str]:
        """Return the gRPC addresses of the initially known replicas."""
        return self.seeds or [peer.grpc_address for peer in self._control]

    @property
    def founding(self) -> bool:
        """Return whether the deployment starts for the first time."""
        return bool(self._values["founding"]) or not self._seeds

    @property
    def directory_address(self) -> str | None:
        """Return the address where control lists entries for callers."""
        return self._address("directory_address")

    @property
    def health_address(self) -> str | None:
        """Return the address of the health check, if any."""
        return self._address("health_address")

    @property
    def metrics_address(self) -> str | None:
        """Return the address where metrics are served as text, if any."""
        return self._address("metrics_address")

    @property
    def relay_address(self) -> str | None:
        """Return where the calls of cut-off entries are taken, if any."""
        return self._address("relay_address")

    def _address(self, name: str) -> str | None:
        value = self._values[name]
        return None if value is None else str(value)

    @property
    def extra_ratio(self) -> float:
        """Return the number of extra sends allowed per call of a service."""
        return float(self._values["extra_ratio"])

    @property
    def extra_fixed(self) -> float:
        """Return the extra sends of a service over all entries; 0 if unset."""
        return float(self._values["extra_fixed"])

    @property
    def probes_per_s(self) -> float:
        """Return the load queries of all routers per second and endpoint."""
        return float(self._values["probes_per_s"])

    @property
    def link_mbit_per_s(self) -> float | None:
        """Return the rate of the vm's link, None if it is not known."""
        value = self._values["link_mbit_per_s"]
        return None if value is None else float(value)

    @property
    def send_on_s(self) -> float:
        """Return how long a stopping router forwards new calls, in seconds."""
        return float(self._values["send_on_s"])

    @property
    def quota_terms(self) -> QuotaTerms:
        """Return the tolerances of organisations' quotas."""
        return QuotaTerms(
            float(self._values["quota_window_s"]),
            float(self._values["quota_overage"]),
            float(self._values["quota_slack"]),
        )

    @property
    def warm_up_overage(self) -> float:
        """Return the factor by which a cold endpoint may exceed its rate."""
        return float(self._values["warm_up_overage"])

    @property
    def warm_up_slack_per_s(self) -> float:
        """Return the calls per second added to a cold endpoint's rate."""
        return float(self._values["warm_up_slack_per_s"])

    def warnings(self) -> list[str]:
        """Return a text for each valid setting that is likely a mistake."""
        found = []
        voters = len(self._control)
        if voters and voters % 2 == 0:
            found.append(
                f"control: {voters} replicas survive no more losses than "
                f"{voters - 1}"
            )
        if voters == 1:
            found.append("control: one replica; its loss prevents all changes")
        if voters > MAX_CONTROL_VMS:
            found.append(
                f"control: {voters} replicas; at most {MAX_CONTROL_VMS} vms "
                "should be reserved for control"
            )
        if self.role != "control" and self.relay_address is None:
            found.append(
                "relay_address: none, so this entry serves no calls of "
                "entries that reach no endpoint"
            )
        if self._seeds:
            return found
        if self.role == "control" and not self._operators:
            found.append("operators: none, so no change can be authorised")
        if self.role == "entry":
            found.extend(self._entry_warnings())
        return found

    def _entry_warnings(self) -> list[str]:
        found = []
        if not self._control:
            found.append(
                "control: none, so this entry will receive no services"
            )
        if not self._values["entries"]:
            found.append(
                "entries: none, so this entry will know no other entry and "
                "no upstream announced at another entry"
            )
        if not self._operators:
            found.append("operators: none, so nutmegchute drain is refused")
        if self.entries_keep_s > LONG_KEEP_S:
            found.append(
                f"entries_keep_s: a drain lasts at least "
                f"{self.entries_keep_s:g} s"
            )
        return found


def read_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and validate a settings file; a failure is a one-line text."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        return Failure(SettingsError(f"{path}: {error.strerror}"))
    except msgspec.DecodeError as error:
        return Failure(SettingsError(f"{path}: not JSON: {error}"))
    error_text = find_error(document)
    if error_text is not None:
        return Failure(SettingsError(f"{path}: {error_text}"))
    settings = Settings(document, path)
    problem = _find_contradiction(settings)
    if problem is not None:
        return Failure(SettingsError(f"{path}: {problem}"))
    return Success(settings)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _find_contradiction(settings: Settings) -> str | None:
    for place, address in _list_addresses(settings):
        if not _is_address(address):
            return f"{place}: {address!r} is not an IP address and a port"
    for place, one in (
        ("http_address", settings.http_address),
        ("grpc_address", settings.grpc_address),
    ):
        if ipaddress.IPv4Address(split_address(one)[0]).is_unspecified:
            return (
                f"{place}: {one!r} cannot be reached from other vms; "
                "use a specific IP address"
            )
    if settings.http_address == settings.grpc_address:
        return "grpc_address: must differ from http_address"
    names = [peer.name for peer in settings.control]
    if len(set(names)) < len(names):
        return "control: lists a name twice"
    if settings.role == "router" and not settings.replicas:
        return "seeds: the router role needs at least one"
    if settings.role != "control":
        return None
    if settings.data_folder is None:
        return "data_folder: the control role needs a folder"
    if settings.seeds:
        return None
    return _find_control_contradiction(settings)


def _find_control_contradiction(settings: Settings) -> str | None:
    for peer in settings.control:
        if peer.name != settings.name:
            continue
        if peer.grpc_address != settings.grpc_address:
            return (
                f"control: lists this replica at {peer.grpc_address}, "
                f"grpc_address is {settings.grpc_address}"
            )
        return None
    return f"control: does not list this replica, {settings.name!r}"


def _list_addresses(settings: Settings) -> list[tuple[str, str]]:
    found = [
        ("http_address", settings.http_address),
        ("grpc_address", settings.grpc_address),
    ]
    found.extend(("entries", one) for one in settings.entries)
    found.extend(("seeds", one) for one in settings.seeds)
    for place, address in (
        ("statsd_address", settings.statsd_address),
        ("directory_address", settings.directory_address),
        ("health_address", settings.health_address),
        ("metrics_address", settings.metrics_address),
        ("relay_address", settings.relay_address),
    ):
        if address is not None:
            found.append((place, address))
    for peer in settings.control:
        found.append((f"control/{peer.name}", peer.grpc_address))
        found.append((f"control/{peer.name}", peer.http_address))
    return found


def _is_address(address: str) -> bool:
    host, port = split_address(address)
    try:
        ipaddress.IPv4Address(host)
    except ipaddress.AddressValueError:
        return False
    return 0 < port < 65536
