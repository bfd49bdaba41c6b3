"""Say which settings there are, their defaults and what values they take.

Written as types that are read by the JSON library: loading a library for
schemas took a quarter of a router's start.
"""

import re
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
from msgspec import Meta
from msgspec import Struct

ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
NAME_PATTERN = "^[a-z][a-z0-9-]*$"
DIGEST_PATTERN = "^[0-9a-f]{64}$"

# What the patterns stand for, for those who got one wrong.
MEANINGS = {
    ADDRESS_PATTERN: "an address, IP:PORT",
    NAME_PATTERN: "a name of small letters, digits and dashes",
    DIGEST_PATTERN: "a SHA-256 digest of 64 hex digits",
}

Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Digest = Annotated[str, Meta(pattern=DIGEST_PATTERN)]
Count = Annotated[int, Meta(ge=0)]
Number = Annotated[int, Meta(ge=1)]
Amount = Annotated[float, Meta(ge=0)]
Span = Annotated[float, Meta(gt=0)]

_PLACE = re.compile(r"(?P<what>.+) - at `\$\.?(?P<place>[^`]*)`", re.DOTALL)
_STEP = re.compile(r"[^.\[\]]+")
_TOO_SMALL = re.compile(r"Expected `\w+` >= (?P<least>\S+)")


class PeerDocument(Struct, forbid_unknown_fields=True):
    """Name one control replica and where it listens."""

    name: Name
    grpc_address: Address
    http_address: Address


class OperatorDocument(Struct, forbid_unknown_fields=True):
    """Name an operator, the digest of the key and the open branches."""

    name: Name
    key_sha256: Digest
    branches: list[str]


class SettingsDocument(Struct, forbid_unknown_fields=True):
    """Hold a settings file; docs/settings.rst tells what each is for."""

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
    cpus: list[Count] = []
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    request_body_bytes: Count = 1048576
    entries_keep_s: Span = 5.0
    shutdown_limit_s: Span = 60.0
    entries_answer: Number = 4
    seeds: list[Address] = []
    founding: bool = False
    directory_address: Address | None = None
    health_address: Address | None = None
    metrics_address: Address | None = None
    extra_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.08
    extra_fixed: Amount = 0.0
    probes_per_s: Amount = 0.0
    send_on_s: Amount = 3.0
    warm_up_overage: Annotated[float, Meta(ge=1)] = 1.0
    warm_up_slack_per_s: Amount = 0.0
    grace_s: Span | None = None


def defaults() -> dict[str, Any]:
    """Give the default of each setting that may be left out."""
    found = {}
    for field in msgspec.structs.fields(SettingsDocument):
        if field.required:
            continue
        if field.default_factory is not msgspec.NODEFAULT:
            found[field.name] = field.default_factory()
            continue
        found[field.name] = field.default
    return found


def find_fault(document: Any) -> str | None:
    """Name the first wrong place and what is allowed there, if any is."""
    try:
        msgspec.convert(document, SettingsDocument)
    except msgspec.ValidationError as error:
        return _explain(str(error), document)
    return None


def _explain(message: str, document: Any) -> str:
    found = _PLACE.fullmatch(message)
    if found is None:
        return f"(top): {message}"
    steps = _STEP.findall(found["place"])
    value = document
    for step in steps:
        value = value[int(step) if isinstance(value, list) else step]
    place = "/".join(steps)
    what = found["what"]
    for pattern, meaning in MEANINGS.items():
        if what.endswith(f"matching regex {pattern!r}"):
            return f"{place}: {value!r} is not {meaning}"
    too_small = _TOO_SMALL.fullmatch(what)
    if too_small is not None:
        return f"{place}: {value!r} is less than {too_small['least']}"
    return f"{place}: {value!r}: {what}"
