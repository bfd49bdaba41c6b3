"""Run the nutmegchute daemon.

Usage:
  nutmegchuted SETTINGS
  nutmegchuted -h | --help

SETTINGS is a JSON file; its "role" says what the daemon does.

Exit statuses: 0 stopped on request, 2 the settings, an address or the
data folder cannot be used and nothing was started.
"""

import asyncio
import sys
from pathlib import Path

from docopt import docopt
from docopt import DocoptExit
from returns.result import Failure

from .controls import ControlDaemon
from .daemons import Daemon
from .entries import EntryDaemon
from .errors import StartError
from .events import configure_logs
from .events import Event
from .events import log
from .settings import read_settings
from .settings import Settings

EXIT_USAGE = 2

ROLES: dict[str, type[Daemon]] = {
    "control": ControlDaemon,
    "entry": EntryDaemon,
}


def main() -> int:
    """Read the settings and run the role they name."""
    try:
        arguments = docopt(__doc__)
    except DocoptExit as error:
        print(error.usage.strip(), file=sys.stderr)
        return EXIT_USAGE
    path = Path(arguments["SETTINGS"])
    settings = read_settings(path)
    if isinstance(settings, Failure):
        print(settings.failure(), file=sys.stderr)
        return EXIT_USAGE
    try:
        asyncio.run(_run(settings.unwrap()))
    except StartError as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


async def _run(settings: Settings) -> None:
    configure_logs(settings.log_level, settings.name)
    for warning in settings.warnings():
        log(Event.SETTING_DOUBTFUL, "warning", detail=warning)
    await ROLES[settings.role](settings).run()


if __name__ == "__main__":
    sys.exit(main())
