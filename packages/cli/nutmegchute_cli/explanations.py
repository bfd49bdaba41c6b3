"""Put a request's story together from the logs of many daemons."""

import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from .errors import EXIT_DONE
from .errors import UsageError
from .options import Options
from .tables import print_json

Line = dict[str, Any]

CALL_ENDED = "NC3016"
CONFIG_APPLIED = "NC3001"
ENDPOINTS_CHANGED = "NC3014"
# An endpoint ended under a request, which was quarantined, or freed again.
OF_CRASHES = ("NC3021", "NC2021", "NC2022")
# A collector may put a time and a name before each line.
_LINE = re.compile(r"\{.*\}")

# What a router's final word means for the one who asks.
OUTCOMES = {
    "finish": "an endpoint's answer was passed on",
    "refuse": "it did not run; the caller was told so",
    "reject": "no route covers it",
    "lose": "it may have run; the caller was told so",
    "gone": "the caller left before there was an answer",
    "known": "its idempotency key was used before",
}


def explain(options: Options) -> int:
    """Tell what became of a request, and on what that rested."""
    name = options.text("REQUEST")
    lines = []
    for path in options.many("FILE"):
        lines.extend(read_lines(Path(path)))
    lines.sort(key=lambda line: str(line.get("timestamp", "")))
    ends = [line for line in lines if line.get("request") == name]
    if not ends:
        raise UsageError(f"no line about request {name!r} in these files")
    found = [_story(end, lines) for end in ends]
    if options.json:
        print_json(found)
        return EXIT_DONE
    for story in found:
        for line in story["told"]:
            print(line)
    return EXIT_DONE


def read_lines(path: Path) -> list[Line]:
    """Return the lines of daemons in a file, in their order.

    :raises UsageError: it cannot be read
    """
    lines = []
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    for raw in text.splitlines():
        found = _LINE.search(raw)
        if found is None:
            continue
        try:
            line = msgspec.json.decode(found[0])
        except msgspec.DecodeError:
            # Other programs write to the same files.
            continue
        if isinstance(line, dict) and "number" in line:
            lines.append(line)
    return lines


def _story(end: Line, lines: list[Line]) -> Line:
    """Tell one call, and the lines that its choice rested on."""
    at = str(end.get("timestamp", ""))
    before = [one for one in lines if str(one.get("timestamp", "")) <= at]
    told = [_head(end)]
    config = _newest(
        before, CONFIG_APPLIED, end, lambda one: one["index"] == end["index"]
    )
    if config is not None:
        told.append(f"  configuration: {_short(config)}")
    known = _newest(
        before,
        ENDPOINTS_CHANGED,
        end,
        lambda one: one["version"] <= end["known"],
    )
    if known is not None:
        told.append(f"  endpoints: {_short(known)}")
    for send in end["sends"]:
        told.append(f"  sent: {_fields(send)}")
        for one in before:
            if one.get("instance") == send.get("instance"):
                told.append(f"    its endpoint: {_short(one)}")
    if not end["sends"]:
        told.append("  never sent to an endpoint")
    for one in before:
        if one["number"] not in OF_CRASHES:
            continue
        if one.get("fingerprint") == end.get("fingerprint"):
            told.append(f"  the same request: {_short(one)}")
    return {"call": end, "told": told}


def _head(end: Line) -> str:
    meaning = OUTCOMES.get(end["outcome"], end["outcome"])
    reason = f" ({end['reason']})" if end.get("reason") else ""
    return (
        f"{end.get('timestamp', '')} {end.get('daemon', '')}: "
        f"route {end['route'] or '-'}, service {end['service'] or '-'}, "
        f"{end['ms']} ms, status {end['status']}: {meaning}{reason}"
    )


def _newest(
    lines: list[Line], number: str, end: Line, holds: Callable[[Line], bool]
) -> Line | None:
    """Return the last such line of the daemon that had the call."""
    for line in reversed(lines):
        if line["number"] != number or line.get("daemon") != end["daemon"]:
            continue
        if holds(line):
            return line
    return None


def _short(line: Line) -> str:
    kept = {
        key: value
        for key, value in line.items()
        if key not in ("number", "event", "level", "timestamp", "instance")
    }
    return (
        f"{line.get('timestamp', '')} {line['number']} "
        f"{line.get('event', '')}: {_fields(kept)}"
    )


def _fields(values: Line) -> str:
    return " ".join(f"{key}={value}" for key, value in values.items())
