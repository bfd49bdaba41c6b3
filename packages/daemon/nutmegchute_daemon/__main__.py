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

from .allocators import return_freed_blocks
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
LOST_LINES_PERIOD_S = 1.0

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


# Each role imports its modules only when it is started, which shortens the
# start after a power failure.
ROLES: Roles = {"control": _control, "entry": _entry, "router": _router}


def main() -> int:
    """Parse the command line and run the role that the settings name."""
    try:
        arguments = docopt(__doc__)
    except DocoptExit as error:
        print(error.usage.strip(), file=sys.stderr)
        return EXIT_USAGE
    return run(Path(arguments["SETTINGS"]), ROLES)


def run(path: Path, roles: Roles) -> int:
    """Run the role that a settings file names; return the exit status."""
    # Prints the stacks of all threads when native code of a library crashes;
    # without it, the process would end without any message.
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


def _restrict_to_cpus(cpus: list[int]) -> None:
    """Restrict the process to some of the vm's CPUs.

    Threads take turns holding the interpreter lock. If each runs on another
    CPU, passing the lock takes half of a call's time.

    :raises StartError: the vm lacks one of the CPUs
    """
    if not cpus:
        return
    available = os.sched_getaffinity(0)
    missing = sorted(set(cpus) - available)
    if missing:
        raise StartError(f"cpus: {missing} not among {sorted(available)}")
    os.sched_setaffinity(0, cpus)


async def _run(settings: Settings, roles: Roles) -> None:
    return_freed_blocks()
    # Before any thread starts, since threads inherit the restriction.
    _restrict_to_cpus(settings.cpus)
    sink = configure_logs(settings.log_level, settings.name)
    try:
        for warning in settings.warnings():
            log(Event.SETTING_DOUBTFUL, "warning", detail=warning)
        daemon = roles[settings.role](settings)
        daemon.run_every(LOST_LINES_PERIOD_S, lambda: _log_lost_lines(sink))
        await daemon.run()
    finally:
        sink.close()


def _log_lost_lines(sink: LineSink[Record]) -> None:
    lost = sink.pop_lost_count()
    if lost:
        log(Event.LINES_LOST, "warning", lines=lost)


if __name__ == "__main__":
    sys.exit(main())
