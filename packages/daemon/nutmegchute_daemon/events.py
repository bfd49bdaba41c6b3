"""Number every log event; docs/events.rst is the catalogue."""

import enum
import logging
import sys
from typing import Any

import structlog

from .sinks import LineSink

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class Event(enum.Enum):
    """Give each event its number and text."""

    STARTED = ("NC1001", "daemon started")
    STOPPING = ("NC1002", "daemon stopping")
    STOPPED = ("NC1003", "daemon stopped")
    SETTING_DOUBTFUL = ("NC1005", "setting is likely a mistake")
    LINES_LOST = ("NC1009", "log lines lost")
    WORK_CUT = ("NC1007", "daemon stops with work in flight")
    DRAIN_ASKED = ("NC1006", "operator asked the entry to drain")
    LED = ("NC2001", "replica leads")
    FOLLOWED = ("NC2002", "replica follows")
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
    INSTANCE_HEARD = ("NC2013", "instance announced itself anew")
    INSTANCE_ENDED = ("NC2014", "instance left")
    DRAIN_UNCONFIRMED = ("NC2015", "entries did not confirm a leaving")
    CALL_ENDED = ("NC3016", "call ended")
    RELOADED = ("NC1008", "settings read again")
    WORD_FAILED = ("NC3017", "control's word could not be taken")
    PAUSED = ("NC3018", "entry stood still")
    LEASE_LAPSED = ("NC3010", "no leader confirms the configuration")
    LEASE_RENEWED = ("NC3011", "a leader confirms the configuration again")

    @property
    def number(self) -> str:
        """Give the event's number."""
        return str(self.value[0])

    @property
    def text(self) -> str:
        """Give the event's text."""
        return str(self.value[1])


def configure_logs(level: str, name: str) -> LineSink:
    """Send JSON lines of the level and above to standard output."""
    sink = LineSink(sys.stdout.fileno())

    def add_name(logger: Any, method: str, fields: Any) -> Any:
        # Not by a context variable: worker threads and what they put on
        # the loop have contexts of their own, and their lines would not
        # tell whose they are.
        fields["daemon"] = name
        return fields

    structlog.configure(
        processors=[
            add_name,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=lambda *_: sink,
        cache_logger_on_first_use=True,
    )
    return sink


def log(event: Event, level: str = "info", **fields: Any) -> None:
    """Log one numbered event with its fields."""
    logger = structlog.get_logger()
    getattr(logger, level)(event.text, number=event.number, **fields)
