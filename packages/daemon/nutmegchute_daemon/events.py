"""Number every log event; docs/events.rst is the catalogue."""

import enum
import sys
import time
from collections.abc import Callable
from datetime import datetime
from datetime import UTC
from typing import Any

from .sinks import LineSink

# By weight, the lightest first.
LEVELS = ("debug", "info", "warning", "error")


class Event(enum.Enum):
    """Give each event its number and text."""

    STARTED = ("NC1001", "daemon started")
    STOPPING = ("NC1002", "daemon stopping")
    STOPPED = ("NC1003", "daemon stopped")
    SETTING_DOUBTFUL = ("NC1005", "setting is likely a mistake")
    LINES_LOST = ("NC1009", "log lines lost")
    WORK_ABORTED = ("NC1007", "daemon stops with work in flight")
    WORK_FAILED = ("NC1010", "periodic work failed")
    DRAIN_REQUESTED = ("NC1006", "operator asked the entry to drain")
    LEADERSHIP_GAINED = ("NC2001", "replica leads")
    LEADERSHIP_ENDED = ("NC2002", "replica follows")
    CHANGE_DECIDED = ("NC2003", "change decided")
    PEER_UNREACHABLE = ("NC2004", "control replica unreachable")
    PEER_REACHED = ("NC2005", "control replica reached again")
    GROUP_FORMED = ("NC2006", "control group formed")
    GROUP_JOINED = ("NC2007", "control group joined")
    REPLICAS_CHANGED = ("NC2008", "control replicas changed")
    STORAGE_FAILED = ("NC2009", "data folder refuses; replica stands still")
    STORAGE_RECOVERED = ("NC2010", "data folder usable again")
    GROUP_DIFFERS = ("NC2011", "replica of another group sent messages")
    KEY_REFUSED = ("NC2012", "operator key refused")
    CONFIG_APPLIED = ("NC3001", "configuration in force")
    CONFIG_UNREACHABLE = ("NC3002", "no control replica answered")
    UPSTREAM_ANNOUNCED = ("NC3003", "upstream announced")
    LEDGER_UNREACHABLE = ("NC3020", "ledger not reachable")
    CALL_LOST = ("NC3004", "call ended with unknown outcome")
    DRAINING = ("NC3005", "entry drains")
    CALL_FAILED = ("NC3006", "call handler failed")
    CONTROL_LOST = ("NC3012", "control replica does not answer")
    CONTROL_REACHED = ("NC3013", "control replica answers again")
    ENDPOINTS_CHANGED = ("NC3014", "endpoints changed")
    INSTANCE_GONE = ("NC3015", "instance has left its address")
    INSTANCE_ANNOUNCED = ("NC2013", "instance announced itself anew")
    INSTANCE_STOPPED = ("NC2014", "instance left")
    DRAIN_UNCONFIRMED = ("NC2015", "entries did not confirm a leaving")
    ENDPOINTS_RESTORED = ("NC2017", "endpoints of before the start recalled")
    ENDPOINT_FILE_FAILED = (
        "NC2018",
        "endpoints could not be kept or recalled",
    )
    VOTERS_CHANGED = ("NC2019", "voting replicas changed")
    LEADERLESS = ("NC2020", "no replica leads")
    ANNOUNCEMENTS_REFUSED = ("NC2016", "words about endpoints refused")
    CALL_ENDED = ("NC3016", "call ended")
    SETTINGS_RELOAD = ("NC1008", "settings read again")
    REPLY_FAILED = ("NC3017", "control's word could not be taken")
    PAUSED = ("NC3018", "entry stood still")
    ENDPOINT_CRASHED = ("NC3021", "endpoint ended under a request")
    QUARANTINE_UNREACHABLE = ("NC3022", "no leader takes reports of crashes")
    QUARANTINE_APPLIED = ("NC3023", "requests to hold back changed")
    EVACUATIONS_APPLIED = ("NC3024", "evacuated availability zones changed")
    EVACUATION_ORDERED = ("NC2023", "evacuation ordered or taken back")
    QUARANTINED = ("NC2021", "request quarantined")
    QUARANTINE_LIFTED = ("NC2022", "quarantine lifted")
    LEASE_EXPIRED = ("NC3010", "no leader confirms the configuration")
    LEASE_RENEWED = ("NC3011", "a leader confirms the configuration again")

    @property
    def number(self) -> str:
        """Give the event's number."""
        return str(self.value[0])

    @property
    def text(self) -> str:
        """Give the event's text."""
        return str(self.value[1])


class Record:
    """Hold what is logged until its line is rendered."""

    __slots__ = ("at", "event", "fields", "level")

    def __init__(
        self, event: Event, level: str, fields: dict[str, Any], at: float
    ) -> None:
        self.event = event
        self.level = level
        self.fields = fields
        # Seconds of the time of day.
        self.at = at


class Log:
    """Take records of the level and above, and hand them to a sink."""

    __slots__ = ("least", "sink")

    def __init__(self) -> None:
        self.least = 0
        self.sink: LineSink[Record] | None = None


_LOG = Log()


def configure_logs(level: str, name: str) -> LineSink[Record]:
    """Send JSON lines of the level and above to standard output."""
    sink = LineSink(sys.stdout.fileno(), lambda: _renderer(name))
    _LOG.least = LEVELS.index(level)
    _LOG.sink = sink
    return sink


def log(event: Event, level: str = "info", **fields: Any) -> None:
    """Log one numbered event with its fields.

    The line is rendered later, on another thread: what the fields hold
    must not change any more.
    """
    if _LOG.sink is None or LEVELS.index(level) < _LOG.least:
        return
    _LOG.sink.put(Record(event, level, fields, time.time()))


def _renderer(name: str) -> Callable[[Record], str]:
    """Build what renders lines.

    Loading the library takes as long as a fifteenth of a router's start
    (20 ms of 300 ms of processor); the log's thread does it once the
    daemon serves.
    """
    import structlog

    encode = structlog.processors.JSONRenderer()

    def render(record: Record) -> str:
        stamp = datetime.fromtimestamp(record.at, UTC)
        fields = {
            **record.fields,
            "number": record.event.number,
            "event": record.event.text,
            "daemon": name,
            "level": record.level,
            "timestamp": stamp.isoformat().replace("+00:00", "Z"),
        }
        return str(encode(None, record.level, fields))

    return render
