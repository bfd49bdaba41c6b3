"""Run a case and map what it found to the exit status of its script."""

import signal
import sys

from deployment import CannotRunError
from deployment import Record


def _stop(number, frame):
    # Unwinds the case, which ends all processes that it started.
    raise SystemExit(2)


def main(run, folder):
    """Return 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, _stop)
    record = Record(folder / "record.txt")
    try:
        return run(record)
    except CannotRunError as error:
        record.write(f"cannot run: {error}")
        print(error)
        return 2
    except Exception as error:
        record.write(f"cannot run: {error!r}")
        sys.excepthook(*sys.exc_info())
        return 2
    finally:
        record.close()


def finish(record, clients, deployment, broken, note=""):
    """Record and print the counts; return the exit status."""
    statuses = {}
    for _, _, found, _, _ in clients.answers.values():
        statuses[found.status] = statuses.get(found.status, 0) + 1
    text = (
        f"requests {len(clients.answers)} by status "
        f"{dict(sorted(statuses.items()))} {note} broken {len(broken)}"
    )
    record.write(text)
    print(text)
    for line in broken[:10]:
        print(line)
    ended = deployment.ended()
    if ended:
        record.write(f"ended by themselves: {ended}")
        print("ended by themselves:", ended)
    return 1 if broken else 0
