"""Run the nutmegchute daemon.

Usage:
  nutmegchuted SETTINGS
  nutmegchuted -h | --help

SETTINGS is a JSON file; its "role" says what the daemon does.

Exit statuses: 0 stopped on request, 2 the settings, an address or the
data folder cannot be used and nothing was started.
"""

import asyncio
import faulthandler
import os
import sys
from collections.abc import Callable
from pathlib import Path

from docopt import docopt
from docopt import DocoptExit
from returns.result import Failure

from .daemons import Daemon
from .errors import StartError
from .events import configure_logs
from .events import Event
from .events import log
from .events import Record
from .settings import read_settings
from .settings import Settings
from .sinks import LineSink

EXIT_USAGE = 2
LOST_S = 1.0

Roles = dict[str, Callable[[Settings], Daemon]]


def _control(settings: Settings) -> Daemon:
    from .controls import ControlDaemon

    return ControlDaemon(settings)


def _entry(settings: Settings) -> Daemon:
    from .entries import EntryDaemon

    return EntryDaemon(settings)


def _router(settings: Settings) -> Daemon:
    from .routers import RouterDaemon

    return RouterDaemon(settings)


# Each loads its own modules when it is asked for: after a loss of power a
# vm serves again that much sooner.
ROLES: Roles = {"control": _control, "entry": _entry, "router": _router}


def main() -> int:
    """Read the settings and run the role they name."""
    try:
        arguments = docopt(__doc__)
    except DocoptExit as error:
        print(error.usage.strip(), file=sys.stderr)
        return EXIT_USAGE
    return run(Path(arguments["SETTINGS"]), ROLES)


def run(path: Path, roles: Roles) -> int:
    """Run the role that a settings file names; return the exit status."""
    # A crash inside a library's machine code ends a process without a word;
    # with this the threads' stacks reach the log.
    faulthandler.enable()
    settings = read_settings(path)
    if isinstance(settings, Failure):
        print(settings.failure(), file=sys.stderr)
        return EXIT_USAGE
    try:
        asyncio.run(_run(settings.unwrap(), roles))
    except StartError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


def _stay_on(cpus: list[int]) -> None:
    """Hold the process to some of the vm's processors.

    Threads take turns at the interpreter; where each turn is on another
    processor, handing over costs half of a call's time.

    :raises StartError: the vm lacks one of them
    """
    if not cpus:
        return
    there = os.sched_getaffinity(0)
    missing = sorted(set(cpus) - there)
    if missing:
        raise StartError(f"cpus: {missing} not among {sorted(there)}")
    os.sched_setaffinity(0, cpus)


async def _run(settings: Settings, roles: Roles) -> None:
    # First, so that the threads that follow are held as well.
    _stay_on(settings.cpus)
    sink = configure_logs(settings.log_level, settings.name)
    try:
        for warning in settings.warnings():
            log(Event.SETTING_DOUBTFUL, "warning", detail=warning)
        daemon = roles[settings.role](settings)
        daemon.run_every(LOST_S, lambda: _report_lost(sink))
        await daemon.run()
    finally:
        sink.close()


def _report_lost(sink: LineSink[Record]) -> None:
    lost = sink.take_lost()
    if lost:
        log(Event.LINES_LOST, "warning", lines=lost)


if __name__ == "__main__":
    sys.exit(main())
