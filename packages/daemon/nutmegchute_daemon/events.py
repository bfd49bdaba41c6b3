"""Log numbered events as JSON lines; docs/events.rst lists them."""

import enum
import sys
import time
from collections.abc import Callable
from datetime import datetime
from datetime import UTC
from typing import Any

from .sinks import LineSink

# In order of increasing severity.
LEVELS = ("debug", "info", "warning", "error")


class Event(enum.Enum):
    """Enumerate the log events, each with its number and text."""

    STARTED = ("NC1001", "daemon started")
    STOPPING = ("NC1002", "daemon stopping")
    STOPPED = ("NC1003", "daemon stopped")
    SETTING_DOUBTFUL = ("NC1005", "setting is likely a mistake")
    LINES_LOST = ("NC1009", "log lines lost")
    WORK_ABORTED = ("NC1007", "work in flight aborted at shutdown")
    WORK_FAILED = ("NC1010", "periodic work failed")
    DRAIN_REQUESTED = ("NC1006", "operator requested a drain")
    LEADERSHIP_GAINED = ("NC2001", "replica became leader")
    LEADERSHIP_ENDED = ("NC2002", "replica is no longer leader")
    CHANGE_DECIDED = ("NC2003", "change decided")
    PEER_UNREACHABLE = ("NC2004", "control replica unreachable")
    PEER_REACHED = ("NC2005", "control replica reachable again")
    GROUP_FORMED = ("NC2006", "control group formed")
    GROUP_JOINED = ("NC2007", "control group joined")
    REPLICAS_CHANGED = ("NC2008", "control replicas changed")
    STORAGE_FAILED = ("NC2009", "data folder unusable; replica suspended")
    STORAGE_RECOVERED = ("NC2010", "data folder usable again")
    GROUP_DIFFERS = ("NC2011", "message from a replica of another group")
    KEY_REFUSED = ("NC2012", "operator key refused")
    CONFIG_APPLIED = ("NC3001", "configuration in force")
    CONFIG_UNREACHABLE = ("NC3002", "configuration request failed")
    UPSTREAM_ANNOUNCED = ("NC3003", "upstream announced")
    LEDGER_UNREACHABLE = ("NC3020", "ledger unreachable")
    CALL_LOST = ("NC3004", "call ended with unknown outcome")
    DRAINING = ("NC3005", "entry draining")
    CALL_FAILED = ("NC3006", "request handler failed")
    CONTROL_LOST = ("NC3012", "control replica does not answer")
    CONTROL_REACHED = ("NC3013", "control replica answers again")
    ENDPOINTS_CHANGED = ("NC3014", "endpoints changed")
    INSTANCE_GONE = ("NC3015", "instance no longer at its address")
    INSTANCE_ANNOUNCED = ("NC2013", "instance announced or changed state")
    INSTANCE_STOPPED = ("NC2014", "instance stopped")
    DRAIN_UNCONFIRMED = ("NC2015", "entries did not confirm a drain")
    ENDPOINTS_RESTORED = ("NC2017", "saved endpoints restored")
    ENDPOINT_FILE_FAILED = (
        "NC2018",
        "endpoints could not be saved or restored",
    )
    VOTERS_CHANGED = ("NC2019", "voting replicas changed")
    LEADERLESS = ("NC2020", "control group has no leader")
    ANNOUNCEMENTS_REFUSED = ("NC2016", "endpoint announcements refused")
    CALL_ENDED = ("NC3016", "call ended")
    SETTINGS_RELOAD = ("NC1008", "settings reload")
    REPLY_FAILED = ("NC3017", "control reply could not be applied")
    PAUSED = ("NC3018", "process was paused")
    ENDPOINT_CRASHED = ("NC3021", "endpoint crashed during a request")
    QUARANTINE_UNREACHABLE = ("NC3022", "no leader accepted the crash reports")
    QUARANTINE_APPLIED = ("NC3023", "quarantine cases changed")
    EVACUATIONS_APPLIED = ("NC3024", "evacuated availability zones changed")
    LIMIT_CHANGED = ("NC3025", "rate limit of an endpoint changed")
    LIMITS_UNREPORTED = ("NC3026", "rate limits could not be reported")
    REST_BEGUN = ("NC3027", "endpoint asked for rest")
    ENDPOINT_LEAVING = ("NC3028", "endpoint says that it leaves")
    TRANSFER_BEGUN = ("NC3035", "transfer of a configuration begun")
    TRANSFER_ENDED = ("NC3036", "transfer of a configuration ended")
    TRANSFER_INTERRUPTED = (
        "NC3037",
        "transfer of a configuration interrupted",
    )
    LINKS_LOST = ("NC3032", "no endpoint can be reached")
    LINKS_BACK = ("NC3033", "endpoints can be reached again")
    CLIENTS_ENDED = ("NC3034", "requests refused or ended for others")
    QUOTA_REACHED = ("NC3029", "organisation at its quota")
    QUOTAS_UNCONFIRMED = ("NC3030", "no control replica grants permits")
    QUOTAS_CONFIRMED = ("NC3031", "control grants permits again")
    GRANTS_BEGUN = ("NC2024", "replica grants permits")
    GRANTS_ENDED = ("NC2025", "replica grants no permits")
    EVACUATION_ORDERED = ("NC2023", "evacuation begun or finished")
    STATE_CURRENT = ("NC2026", "state of the replica is current")
    STATE_OUTDATED = ("NC2027", "state of the replica may be outdated")
    REPLY_LONG = ("NC2028", "long reply sent")
    QUARANTINED = ("NC2021", "request quarantined")
    QUARANTINE_LIFTED = ("NC2022", "quarantine lifted")
    LEASE_EXPIRED = ("NC3010", "configuration lease expired")
    LEASE_RENEWED = ("NC3011", "configuration lease renewed")

    @property
    def number(self) -> str:
        """Return the number, under which the catalogue lists the event."""
        return str(self.value[0])

    @property
    def text(self) -> str:
        """Return the text that the catalogue and the log lines show."""
        return str(self.value[1])


class Record:
    """Hold a logged event until its line is rendered."""

    __slots__ = ("at", "event", "fields", "level")

    def __init__(
        self, event: Event, level: str, fields: dict[str, Any], at: float
    ) -> None:
        self.event = event
        self.level = level
        self.fields = fields
        # Unix time in seconds.
        self.at = at


class Log:
    """Hold the minimum level that is logged and the sink of the lines."""

    __slots__ = ("min_level", "sink")

    def __init__(self) -> None:
        self.min_level = 0
        self.sink: LineSink[Record] | None = None


_LOG = Log()


def configure_logs(level: str, name: str) -> LineSink[Record]:
    """Write events of a level and above to standard output as JSON."""
    sink = LineSink(sys.stdout.fileno(), lambda: _build_renderer(name))
    _LOG.min_level = LEVELS.index(level)
    _LOG.sink = sink
    return sink


def log(event: Event, level: str = "info", **fields: Any) -> None:
    """Log one numbered event with its fields.

    Another thread renders the line later, so values passed as fields must
    not be modified afterwards.
    """
    if _LOG.sink is None or LEVELS.index(level) < _LOG.min_level:
        return
    _LOG.sink.put(Record(event, level, fields, time.time()))


def _build_renderer(name: str) -> Callable[[Record], str]:
    """Return the function that renders a record as a line.

    Importing structlog takes 20 ms of the 300 ms of CPU time of a router's
    start, so the log thread imports it once the daemon serves.
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
