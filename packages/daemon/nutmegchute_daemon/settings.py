"""Read, check and complete the daemon's settings."""

from pathlib import Path
from typing import Any

import jsonschema
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from .errors import SettingsError

DEFAULTS: dict[str, Any] = {
    "region": "default",
    "control": [],
    "entries": [],
    "data_folder": None,
    "operators": [],
    "statsd_address": "127.0.0.1:8125",
    "http_threads": 48,
    "log_level": "info",
    "request_body_bytes": 1048576,
    "entries_keep_s": 5.0,
    "entries_answer": 4,
}

_ADDRESS = {
    "type": "string",
    "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
}
_NAME = {"type": "string", "pattern": "^[a-z][a-z0-9-]*$"}

SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": [
        "role",
        "name",
        "availability_zone",
        "http_address",
        "grpc_address",
    ],
    "properties": {
        "role": {"enum": ["entry", "control"]},
        "name": _NAME,
        "region": _NAME,
        "availability_zone": _NAME,
        "http_address": _ADDRESS,
        "grpc_address": _ADDRESS,
        "control": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "grpc_address", "http_address"],
                "properties": {
                    "name": _NAME,
                    "grpc_address": _ADDRESS,
                    "http_address": _ADDRESS,
                },
            },
        },
        "entries": {"type": "array", "items": _ADDRESS},
        "data_folder": {"type": ["string", "null"]},
        "operators": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["name", "key_sha256", "branches"],
                "properties": {
                    "name": _NAME,
                    "key_sha256": {
                        "type": "string",
                        "pattern": "^[0-9a-f]{64}$",
                    },
                    "branches": {
                        "type": "array",
                        "items": {"type": "string"},
                    },
                },
            },
        },
        "statsd_address": _ADDRESS,
        "http_threads": {"type": "integer", "minimum": 2, "maximum": 512},
        "log_level": {"enum": ["debug", "info", "warning", "error"]},
        "request_body_bytes": {"type": "integer", "minimum": 0},
        "entries_keep_s": {"type": "number", "exclusiveMinimum": 0},
        "entries_answer": {"type": "integer", "minimum": 1},
    },
}

_VALIDATOR = jsonschema.Draft202012Validator(SCHEMA)


class ControlPeer:
    """Name one control replica and where it listens."""

    __slots__ = ("_grpc_address", "_http_address", "_name")

    def __init__(self, document: dict[str, str]) -> None:
        self._name = document["name"]
        self._grpc_address = document["grpc_address"]
        self._http_address = document["http_address"]

    @property
    def name(self) -> str:
        """Name the replica."""
        return self._name

    @property
    def grpc_address(self) -> str:
        """Give the address other daemons reach it at."""
        return self._grpc_address

    @property
    def http_address(self) -> str:
        """Give the address operators reach it at."""
        return self._http_address


class Operator:
    """Name an operator, the digest of the key and the open branches."""

    __slots__ = ("_branches", "_key_sha256", "_name")

    def __init__(self, document: dict[str, Any]) -> None:
        self._name: str = document["name"]
        self._key_sha256: str = document["key_sha256"]
        self._branches: list[str] = document["branches"]

    @property
    def name(self) -> str:
        """Name the operator."""
        return self._name

    @property
    def key_sha256(self) -> str:
        """Give the digest of the operator's key."""
        return self._key_sha256

    def may_change(self, team: str) -> bool:
        """Tell whether the key opens the team's branch."""
        return "*" in self._branches or team in self._branches


class Settings:
    """Hold checked settings, defaults filled in."""

    __slots__ = ("_control", "_operators", "_values")

    def __init__(self, values: dict[str, Any]) -> None:
        self._values = {**DEFAULTS, **values}
        self._control = [ControlPeer(one) for one in self._values["control"]]
        self._operators = [Operator(one) for one in self._values["operators"]]

    @property
    def role(self) -> str:
        """Name the role, entry or control."""
        return str(self._values["role"])

    @property
    def name(self) -> str:
        """Name this daemon, unique in the deployment."""
        return str(self._values["name"])

    @property
    def availability_zone(self) -> str:
        """Name the availability zone of the vm."""
        return str(self._values["availability_zone"])

    @property
    def http_address(self) -> str:
        """Give the address for callers, upstreams and operators."""
        return str(self._values["http_address"])

    @property
    def grpc_address(self) -> str:
        """Give the address for other daemons."""
        return str(self._values["grpc_address"])

    @property
    def control(self) -> list[ControlPeer]:
        """List the control replicas."""
        return self._control

    @property
    def entries(self) -> list[str]:
        """List the gRPC addresses of the entries to gossip with."""
        return list(self._values["entries"])

    @property
    def data_folder(self) -> Path | None:
        """Give the folder that holds everything durable."""
        folder = self._values["data_folder"]
        return Path(folder) if folder is not None else None

    @property
    def operators(self) -> list[Operator]:
        """List the operators known from the settings."""
        return self._operators

    @property
    def statsd_address(self) -> str:
        """Give the UDP address that metrics go to."""
        return str(self._values["statsd_address"])

    @property
    def http_threads(self) -> int:
        """Give the number of HTTP worker threads."""
        return int(self._values["http_threads"])

    @property
    def log_level(self) -> str:
        """Name the lowest level that is logged."""
        return str(self._values["log_level"])

    @property
    def request_body_bytes(self) -> int:
        """Give the largest request body taken, in bytes."""
        return int(self._values["request_body_bytes"])

    @property
    def entries_keep_s(self) -> float:
        """Give how long callers may keep an answer, in seconds."""
        return float(self._values["entries_keep_s"])

    @property
    def entries_answer(self) -> int:
        """Give the most entries named to one caller."""
        return int(self._values["entries_answer"])


def read_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read a settings file; the failure is one clear line."""
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        return Failure(SettingsError(f"{path}: {error.strerror}"))
    except msgspec.DecodeError as error:
        return Failure(SettingsError(f"{path}: not JSON: {error}"))
    for fault in _VALIDATOR.iter_errors(document):
        place = "/".join(map(str, fault.absolute_path)) or "(top)"
        return Failure(SettingsError(f"{path}: {place}: {fault.message}"))
    settings = Settings(document)
    problem = _contradiction(settings)
    if problem is not None:
        return Failure(SettingsError(f"{path}: {problem}"))
    return Success(settings)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _contradiction(settings: Settings) -> str | None:
    if settings.role != "control":
        return None
    if settings.data_folder is None:
        return "data_folder: the control role needs a folder"
    if settings.name not in [peer.name for peer in settings.control]:
        return f"control: does not list this replica, {settings.name!r}"
    return None
