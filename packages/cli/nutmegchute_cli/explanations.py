"""Explain from the logs of daemons how a request was handled."""

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
# An endpoint crashed during a request; a request was quarantined; its
# quarantine was lifted.
QUARANTINE_EVENTS = ("NC3021", "NC2021", "NC2022")
# An endpoint changed its rate limit, asked for rest, or said that it leaves.
DEMAND_EVENTS = ("NC3025", "NC3027", "NC3028")
# The daemon lost its links to all endpoints, or has them back.
LINK_EVENTS = ("NC3032", "NC3033")
# A log collector may prefix each line with a time and a name.
_JSON_OBJECT = re.compile(r"\{.*\}")

# Meaning of the outcomes that routers log.
OUTCOMES = {
    "finish": "an endpoint's answer was passed on",
    "refuse": "it did not run, and the answer said so",
    "reject": "no route matches it",
    "deny": "it did not run, as its key is not valid",
    "throttle": "it did not run, as it was beyond its organisation's quota",
    "lose": "it may have run, and the answer said so",
    "gone": "the caller left before there was an answer",
    "known": "its idempotency key was already used",
}


def explain(options: Options) -> int:
    """Print how a request was handled and which events led to it."""
    request_id = options.text("REQUEST")
    lines = []
    for path in options.texts("FILE"):
        lines.extend(read_lines(Path(path)))
    lines.sort(key=lambda line: str(line.get("timestamp", "")))
    calls = [line for line in lines if line.get("request") == request_id]
    if not calls:
        raise UsageError(
            f"no line about request {request_id!r} in these files"
        )
    found = [_explain_call(call, lines) for call in calls]
    if options.json:
        print_json(found)
        return EXIT_DONE
    for explanation in found:
        for line in explanation["told"]:
            print(line)
    return EXIT_DONE


def read_lines(path: Path) -> list[Line]:
    """Return the log lines of daemons in a file, in order.

    :raises UsageError: the file cannot be read
    """
    lines = []
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    for raw in text.splitlines():
        found = _JSON_OBJECT.search(raw)
        if found is None:
            continue
        try:
            line = msgspec.json.decode(found[0])
        except msgspec.DecodeError:
            # The file also holds the output of other programs.
            continue
        if isinstance(line, dict) and "number" in line:
            lines.append(line)
    return lines


def _explain_call(call: Line, lines: list[Line]) -> Line:
    """Return one call with a description of the events behind it."""
    at = str(call.get("timestamp", ""))
    earlier = [one for one in lines if str(one.get("timestamp", "")) <= at]
    output = [_describe_outcome(call)]
    config = _find_last(
        earlier,
        CONFIG_APPLIED,
        call,
        lambda one: one["index"] == call["index"],
    )
    if config is not None:
        output.append(f"  configuration: {_format_line(config)}")
    known = _find_last(
        earlier,
        ENDPOINTS_CHANGED,
        call,
        lambda one: one["version"] <= call["known"],
    )
    if known is not None:
        output.append(f"  endpoints: {_format_line(known)}")
    links = _find_links(earlier, call)
    if links is not None:
        output.append(f"  links to endpoints: {_format_line(links)}")
    for send in call["sends"]:
        output.append(f"  sent: {_format_fields(send)}")
        for one in earlier:
            if one.get("instance") == send.get("instance"):
                output.append(f"    endpoint event: {_format_line(one)}")
    if not call["sends"]:
        output.append("  not sent to any endpoint")
        for one in _last_demands(earlier, call):
            output.append(f"  asked by an endpoint: {_format_line(one)}")
    for one in earlier:
        if one["number"] not in QUARANTINE_EVENTS:
            continue
        if one.get("fingerprint") == call.get("fingerprint"):
            output.append(f"  the same request: {_format_line(one)}")
    return {"call": call, "told": output}


def _find_links(lines: list[Line], call: Line) -> Line | None:
    """Return the loss of all links that a call met, if any."""
    for line in reversed(lines):
        if line["number"] not in LINK_EVENTS:
            continue
        if line.get("daemon") == call["daemon"]:
            return line if line["number"] == LINK_EVENTS[0] else None
    return None


def _last_demands(lines: list[Line], call: Line) -> list[Line]:
    """Return what each endpoint last asked of the daemon with the call."""
    last: dict[tuple[str, str], Line] = {}
    for line in lines:
        if line["number"] not in DEMAND_EVENTS:
            continue
        if line.get("daemon") == call["daemon"]:
            last[line["endpoint"], line["number"]] = line
    return list(last.values())


def _describe_outcome(call: Line) -> str:
    meaning = OUTCOMES.get(call["outcome"], call["outcome"])
    reason = f" ({call['reason']})" if call.get("reason") else ""
    if call.get("ahead") is not None:
        reason += (
            f", {call['ahead']} calls ahead, organisation's priority "
            f"{call['priority']}"
        )
    if call.get("organisation"):
        reason += f", organisation {call['organisation']}"
    if call.get("quota"):
        reason += f", quota {_format_fields(call['quota'])}"
    return (
        f"{call.get('timestamp', '')} {call.get('daemon', '')}: "
        f"route {call['route'] or '-'}, service {call['service'] or '-'}, "
        f"{call['ms']} ms, status {call['status']}: {meaning}{reason}"
        f"{_describe_told(call)}"
    )


def _describe_told(call: Line) -> str:
    """Return what the caller was told, as far as the line says it.

    That of a call which another entry has passed on is that entry.
    """
    told = call.get("told")
    if told is None:
        return ""
    caller = "router that passed it on" if call.get("relayed") else "caller"
    return f"; the {caller} got {told or 'no answer'}"


def _find_last(
    lines: list[Line],
    number: str,
    call: Line,
    matches: Callable[[Line], bool],
) -> Line | None:
    """Return the last matching line of the daemon that handled the call."""
    for line in reversed(lines):
        if line["number"] != number or line.get("daemon") != call["daemon"]:
            continue
        if matches(line):
            return line
    return None


def _format_line(line: Line) -> str:
    kept = {
        key: value
        for key, value in line.items()
        if key not in ("number", "event", "level", "timestamp", "instance")
    }
    return (
        f"{line.get('timestamp', '')} {line['number']} "
        f"{line.get('event', '')}: {_format_fields(kept)}"
    )


def _format_fields(values: Line) -> str:
    return " ".join(f"{key}={value}" for key, value in values.items())
