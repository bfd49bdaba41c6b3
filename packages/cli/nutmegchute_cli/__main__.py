"""Operate nutmegchute.

Usage:
  nutmegchute status [options]
  nutmegchute entries [options]
  nutmegchute upstreams [SERVICE] [options]
  nutmegchute services [SERVICE] [options]
  nutmegchute show [TEAM] [options]
  nutmegchute audit [TEAM] [options]
  nutmegchute plan FOLDER [options]
  nutmegchute apply FOLDER [options]
  nutmegchute drain [options]
  nutmegchute replicas [options]
  nutmegchute replicas add NAME GRPC_ADDRESS HTTP_ADDRESS [options]
  nutmegchute replicas remove NAME [options]
  nutmegchute replicas replace NAME NEW GRPC_ADDRESS HTTP_ADDRESS [options]
  nutmegchute quarantine [options]
  nutmegchute quarantine lift SERVICE FINGERPRINT [options]
  nutmegchute evacuations [list] [options]
  nutmegchute evacuations begin ZONE [options]
  nutmegchute evacuations finish ZONE [options]
  nutmegchute check PATH... [options]
  nutmegchute explain REQUEST FILE... [options]
  nutmegchute summarize FILE... [options]
  nutmegchute -h | --help

Commands:
  status     Show which replica leads and whether all changes are in force.
  entries    List the entries; with --entry, the entries it knows.
  upstreams  List the live endpoints that an entry knows (needs --entry).
  services   List the declared services and their rules.
  show       Print the configuration tree, or one team's branch.
  audit      List changes and their operators, newest last.
  plan       Print the differences that apply would make.
  apply      Send the declarations in FOLDER; safe to repeat.
  drain      Take the entry named by --entry out of service.
  replicas   List, add, remove or replace control replicas.
  quarantine List requests that crash endpoints, or lift a quarantine.
  evacuations List the evacuated availability zones, evacuate one, or
             end its evacuation.
  check      Check settings and declarations without starting anything.
  explain    Show from logs how a request was handled, and why.
  summarize  Print a summary of all requests in logs, per time window.

Options:
  --control=ADDRESSES  HTTP addresses of control replicas, separated by
                       commas; default: variable NUTMEGCHUTE_CONTROL.
  --entry=ADDRESS      HTTP address of an entry; default: variable
                       NUTMEGCHUTE_ENTRY.
  --wait-s=S           Seconds to wait for completion [default: 12].
  --limit=N            Maximum audit records, 0 for all [default: 50].
  --window-s=S         Seconds per time window [default: 2].
  --remove             Also remove branches that have no file in FOLDER.
  --json               Print JSON in place of a table.
  -h --help            Print this text.

The operator's key is read from the variable NUTMEGCHUTE_KEY.

Examples:
  nutmegchute check examples/red-andina/declarations
  nutmegchute plan declarations --control=10.1.0.1:8101,10.1.0.2:8101
  nutmegchute apply declarations --wait-s=12
  nutmegchute upstreams prestamos --entry=10.1.0.11:8101 --json
  nutmegchute drain --entry=10.1.0.11:8101

Exit statuses: 0 done, 1 refused or conflict, 2 wrong use, settings or
declarations, 3 not reachable and nothing done, 4 outcome not known or
not yet in force (run the same command again).
"""

import os
import sys
from collections.abc import Callable
from typing import Any

from docopt import docopt
from docopt import DocoptExit

from . import changes
from . import checks
from . import drains
from . import evacuations
from . import explanations
from . import listings
from . import quarantines
from . import replicas
from . import summaries
from .errors import CliError
from .errors import EXIT_DONE
from .errors import EXIT_UNKNOWN
from .errors import EXIT_USAGE
from .options import Options

COMMANDS: dict[str, Callable[[Options], int]] = {
    "status": listings.status,
    "entries": listings.entries,
    "upstreams": listings.upstreams,
    "services": listings.services,
    "show": listings.show,
    "audit": listings.audit,
    "plan": changes.plan,
    "apply": changes.apply,
    "drain": drains.drain,
    "replicas": replicas.run,
    "quarantine": quarantines.run,
    "evacuations": evacuations.run,
    "check": checks.check,
    "explain": explanations.explain,
    "summarize": summaries.summarize,
}


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit status."""
    try:
        arguments: dict[str, Any] = docopt(__doc__, argv)
    except DocoptExit as error:
        # docopt would exit with status 1, which here means "refused".
        print(error.usage.strip(), file=sys.stderr)
        print("see nutmegchute --help", file=sys.stderr)
        return EXIT_USAGE
    options = Options(arguments, os.environ)
    try:
        status = _command(arguments)(options)
        sys.stdout.flush()
        return status
    except BrokenPipeError:
        # The reader, such as head or less, has closed the pipe. Without the
        # redirection, Python would print another error at exit, when it
        # flushes the output.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_DONE
    except KeyboardInterrupt:
        print(
            "nutmegchute: interrupted; the command may have taken effect: "
            "run it again",
            file=sys.stderr,
        )
        return EXIT_UNKNOWN
    except CliError as error:
        print(f"nutmegchute: {error}", file=sys.stderr)
        return error.exit_status


def _command(arguments: dict[str, Any]) -> Callable[[Options], int]:
    for name, function in COMMANDS.items():
        if arguments[name]:
            return function
    raise AssertionError("the usage lists a command without a function")


if __name__ == "__main__":
    sys.exit(main())
