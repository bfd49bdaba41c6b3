"""Validate declarations: each branch by its schema, and all together.

Only control and the operators' tools import this module. Entries get
validated declarations, so they need not load the schema validator.
"""

from math import isfinite
from typing import Any

import jsonschema

from .errors import DeclarationError
from .organisations import SECTION as ORGANISATIONS
from .rules import PRIORITIES

RULE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "idempotent", "reason"],
    "properties": {
        "name": {"type": "string", "pattern": "^[a-z][a-z0-9-]*$"},
        "reason": {"type": "string", "minLength": 1},
        "method": {"type": "string", "pattern": "^[A-Z]+$"},
        "path_prefix": {"type": "string", "pattern": "^/"},
        "idempotent": {"type": "boolean"},
        "priority": {"enum": list(PRIORITIES)},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 600000},
        "attempts": {"type": "integer", "minimum": 1, "maximum": 4},
        "hedge": {"type": "boolean"},
        "anonymous": {"type": "boolean"},
    },
}

SERVICE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "slots": {"type": "integer", "minimum": 1, "maximum": 1024},
        "queue": {"type": "integer", "minimum": 0, "maximum": 65536},
        "probes_per_s": {"type": "number", "minimum": 0, "maximum": 10000},
        "probe_path": {"type": "string", "pattern": "^/"},
        "most_entries": {"type": "integer", "minimum": 1, "maximum": 256},
        "key_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
        "connections": {"type": "integer", "minimum": 1},
        "warm_up_s": {"type": "number", "minimum": 0, "maximum": 3600},
        "warm_up_per_s": {"type": "number", "exclusiveMinimum": 0},
        "rules": {"type": "array", "minItems": 1, "items": RULE_SCHEMA},
        "annotations": {"type": "object"},
    },
}

_SERVICE_NAME = {"type": "string", "pattern": "^[a-z][a-z0-9-]*$"}

ROUTE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["host", "path_prefix", "idempotent", "timeout_ms"],
    "oneOf": [{"required": ["service"]}, {"required": ["split"]}],
    "properties": {
        "host": {"type": "string", "minLength": 1},
        "path_prefix": {"type": "string", "pattern": "^/"},
        "idempotent": {"type": "boolean"},
        "large_bodies": {"type": "boolean"},
        "timeout_ms": {
            "type": "number",
            "exclusiveMinimum": 0,
            "maximum": 600000,
        },
        "objective_ms": {"type": "number", "minimum": 0},
        "priority": {"type": "integer", "minimum": 0},
        "attempts": {"type": "integer", "minimum": 1, "maximum": 64},
        "anonymous": {"type": "boolean"},
        "service": _SERVICE_NAME,
        "split": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["service", "weight"],
                "properties": {
                    "service": _SERVICE_NAME,
                    "weight": {"type": "number", "minimum": 0},
                },
            },
        },
        "annotations": {"type": "object"},
    },
}

LIMITS_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "header_bytes": {"type": "integer", "minimum": 1},
        "body_bytes": {"type": "integer", "minimum": 0},
        "header_timeout_ms": {"type": "number", "exclusiveMinimum": 0},
        "idle_timeout_ms": {"type": "number", "exclusiveMinimum": 0},
    },
}

# Keys and names are written into headers, which cannot hold control
# characters, and a lone surrogate has no encoding. The patterns end with \\Z,
# as $ also matches before a line feed at the end.
ORGANISATION_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "properties": {
        "keys": {
            "type": "array",
            "items": {
                "type": "string",
                "pattern": "^[^\\x00-\\x20\\x7f\\ud800-\\udfff]+\\Z",
                "maxLength": 1024,
            },
        },
        "rate_per_s": {"type": "number", "minimum": 0, "maximum": 1e9},
        "burst": {"type": "number", "minimum": 0, "maximum": 1e9},
        "priority": {"type": "integer", "minimum": 0, "maximum": 1000},
        "annotations": {"type": "object"},
    },
}

TEAM_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": ["services"],
    "properties": {
        "services": {
            "type": "object",
            "propertyNames": {"pattern": "^[a-z][a-z0-9-]*$"},
            "additionalProperties": SERVICE_SCHEMA,
        },
        "routes": {
            "type": "object",
            "additionalProperties": ROUTE_SCHEMA,
        },
        "limits": LIMITS_SCHEMA,
        ORGANISATIONS: {
            "type": "object",
            "propertyNames": {
                "pattern": "^[^\\x00-\\x20\\x7f\\ud800-\\udfff]"
                "([^\\x00-\\x1f\\x7f\\ud800-\\udfff]*"
                "[^\\x00-\\x20\\x7f\\ud800-\\udfff])?\\Z",
                "maxLength": 256,
            },
            "additionalProperties": ORGANISATION_SCHEMA,
        },
        "annotations": {"type": "object"},
    },
}

_TEAM_VALIDATOR = jsonschema.Draft202012Validator(TEAM_SCHEMA)


def check_team(team: str, document: Any) -> None:
    """Validate the document of a team's branch.

    :raises DeclarationError: the first invalid path, and why
    """
    errors = sorted(
        _TEAM_VALIDATOR.iter_errors(document),
        key=lambda error: list(map(str, error.absolute_path)),
    )
    for error in errors:
        steps = [team, *map(str, error.absolute_path)]
        raise DeclarationError("/".join(steps), _describe(error))
    _check_quotas(team, document)


def _describe(error: jsonschema.ValidationError) -> str:
    """Return what a document violates, without the key of a caller."""
    message: str = error.message
    place = list(error.absolute_path)
    if place and place[0] != ORGANISATIONS:
        return message
    if not place and error.validator != "type":
        return message
    # The validator's own message quotes the value, which may hold keys.
    if error.validator == "additionalProperties":
        allowed = ", ".join(sorted(error.schema["properties"]))
        return f"has a field that is none of {allowed}"
    return f"{error.validator} must be {error.validator_value!r}"


def _check_quotas(team: str, document: dict[str, Any]) -> None:
    # The schema's bounds do not exclude NaN, as no comparison with it holds.
    for name, organisation in document.get(ORGANISATIONS, {}).items():
        for field in ("rate_per_s", "burst"):
            if not isfinite(organisation.get(field, 0.0)):
                place = f"{team}/{ORGANISATIONS}/{name}/{field}"
                raise DeclarationError(place, "must be a finite number")


def check_tree(documents: dict[str, Any]) -> None:
    """Validate the branches of all teams together.

    :raises DeclarationError: two branches conflict, or a service is missing
    """
    owners: dict[str, str] = {}
    for team in sorted(documents):
        for name in documents[team]["services"]:
            if name in owners:
                raise DeclarationError(
                    f"{team}/services/{name}",
                    f"service is declared by team {owners[name]!r} already",
                )
            owners[name] = team
    _check_routes(documents, owners)
    _check_organisations(documents)


def _check_routes(documents: dict[str, Any], owners: dict[str, str]) -> None:
    seen: dict[tuple[str, str], str] = {}
    for team in sorted(documents):
        for name, route in documents[team].get("routes", {}).items():
            path = f"{team}/routes/{name}"
            for service in services_of(route):
                if service not in owners:
                    raise DeclarationError(
                        path, f"service {service!r} is not declared"
                    )
            if route["idempotent"] and route.get("large_bodies"):
                raise DeclarationError(
                    path, "a route of large bodies cannot be idempotent"
                )
            match = (route["host"].lower(), route["path_prefix"])
            if match in seen:
                raise DeclarationError(
                    path,
                    f"{seen[match]} has this host and prefix already",
                )
            seen[match] = path


def _check_organisations(documents: dict[str, Any]) -> None:
    names: dict[str, str] = {}
    owners: dict[str, str] = {}
    for team in sorted(documents):
        section = documents[team].get(ORGANISATIONS, {})
        for name, organisation in section.items():
            place = f"{team}/{ORGANISATIONS}/{name}"
            if name in names:
                raise DeclarationError(place, f"{names[name]} has this name")
            names[name] = place
            for position, key in enumerate(organisation.get("keys", [])):
                owner = owners.setdefault(key, place)
                if owner != place:
                    # The key itself must not appear in an error.
                    raise DeclarationError(
                        f"{place}/keys/{position}", f"{owner} has this key"
                    )


def services_of(route: dict[str, Any]) -> list[str]:
    """Return the services to which a route may send requests."""
    if "split" not in route:
        return [route["service"]]
    return [part["service"] for part in route["split"]]
