"""Define the settings, their defaults and the values they allow.

The settings are types that msgspec validates. Importing a library for JSON
schemas would take a quarter of a router's start.
"""

import re
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
from msgspec import Meta
from msgspec import Struct
from nutmegchute_core.holdings import DEFAULT_MEMORY_BYTES
from nutmegchute_core.holdings import MIN_MEMORY_BYTES
from nutmegchute_core.quotas import DEFAULT_OVERAGE
from nutmegchute_core.quotas import DEFAULT_SLACK
from nutmegchute_core.quotas import DEFAULT_WINDOW_S

ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
NAME_PATTERN = "^[a-z][a-z0-9-]*$"
DIGEST_PATTERN = "^[0-9a-f]{64}$"

# Descriptions of the patterns for error messages.
PATTERN_DESCRIPTIONS = {
    ADDRESS_PATTERN: "an address, IP:PORT",
    NAME_PATTERN: "a name of lowercase letters, digits and hyphens",
    DIGEST_PATTERN: "a SHA-256 digest of 64 hex digits",
}

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Digest = Annotated[str, Meta(pattern=DIGEST_PATTERN)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]

_LOCATED_ERROR = re.compile(
    r"(?P<what>.+) - at `\$\.?(?P<place>[^`]*)`", re.DOTALL
)
_KEY = re.compile(r"[^.\[\]]+")
_TOO_SMALL = re.compile(r"Expected `\w+` >= (?P<least>\S+)")


class PeerDocument(Struct, forbid_unknown_fields=True):
    """Hold the name and addresses of a listed control replica."""

    name: Name
    grpc_address: Address
    http_address: Address


class OperatorDocument(Struct, forbid_unknown_fields=True):
    """Hold an operator's name, key digest and permitted branches."""

    name: Name
    key_sha256: Digest
    branches: list[str]


class SettingsDocument(Struct, forbid_unknown_fields=True):
    """Hold a settings file; docs/settings.rst describes each setting."""

    role: Literal["entry", "router", "control"]
    name: Name
    availability_zone: Name
    http_address: Address
    grpc_address: Address
    region: Name = "default"
    control: list[PeerDocument] = []
    entries: list[Address] = []
    data_folder: str | None = None
    operators: list[OperatorDocument] = []
    statsd_address: Address | None = "127.0.0.1:8125"
    http_threads: Annotated[int, Meta(ge=2, le=512)] = 48
    cpus: list[NonNegativeInt] = []
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    request_body_bytes: NonNegativeInt = 1048576
    open_files: Annotated[int, Meta(ge=128)] | None = None
    memory_bytes: Annotated[int, Meta(ge=MIN_MEMORY_BYTES)] = (
        DEFAULT_MEMORY_BYTES
    )
    entries_keep_s: PositiveFloat = 5.0
    shutdown_limit_s: PositiveFloat = 60.0
    entries_answer: PositiveInt = 4
    seeds: list[Address] = []
    founding: bool = False
    directory_address: Address | None = None
    health_address: Address | None = None
    metrics_address: Address | None = None
    relay_address: Address | None = None
    extra_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.08
    extra_fixed: NonNegativeFloat = 0.0
    probes_per_s: NonNegativeFloat = 0.0
    send_on_s: NonNegativeFloat = 3.0
    warm_up_overage: Annotated[float, Meta(ge=1)] = 1.0
    warm_up_slack_per_s: NonNegativeFloat = 0.0
    grace_s: PositiveFloat | None = None
    link_mbit_per_s: PositiveFloat | None = None
    quota_window_s: PositiveFloat = DEFAULT_WINDOW_S
    quota_overage: PositiveFloat = DEFAULT_OVERAGE
    quota_slack: NonNegativeFloat = DEFAULT_SLACK


def defaults() -> dict[str, Any]:
    """Return the default of each optional setting."""
    found = {}
    for field in msgspec.structs.fields(SettingsDocument):
        if field.required:
            continue
        if field.default_factory is not msgspec.NODEFAULT:
            found[field.name] = field.default_factory()
            continue
        found[field.name] = field.default
    return found


def find_error(document: Any) -> str | None:
    """Return the first invalid setting and what it allows, if any."""
    try:
        msgspec.convert(document, SettingsDocument)
    except msgspec.ValidationError as error:
        return _describe_error(str(error), document)
    return None


def _describe_error(message: str, document: Any) -> str:
    found = _LOCATED_ERROR.fullmatch(message)
    if found is None:
        return f"(top): {message}"
    keys = _KEY.findall(found["place"])
    value = document
    for key in keys:
        value = value[int(key) if isinstance(value, list) else key]
    place = "/".join(keys)
    what = found["what"]
    for pattern, description in PATTERN_DESCRIPTIONS.items():
        if what.endswith(f"matching regex {pattern!r}"):
            return f"{place}: {value!r} is not {description}"
    too_small = _TOO_SMALL.fullmatch(what)
    if too_small is not None:
        return f"{place}: {value!r} is less than {too_small['least']}"
    return f"{place}: {value!r}: {what}"
