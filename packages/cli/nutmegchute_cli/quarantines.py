"""List the requests that crash endpoints, and lift their quarantine."""

from .errors import EXIT_DONE
from .errors import RefusedError
from .options import Options
from .tables import print_rows

ACCEPTED = "accepted"
COLUMNS = ["service", "fingerprint", "state", "left_s", "processes"]


def run(options: Options) -> int:
    """Run the quarantine command that was given."""
    if options.is_given("lift"):
        return _lift(options)
    rows = options.control().get("/quarantine")
    print_rows(rows, COLUMNS, options.json)
    return EXIT_DONE


def _lift(options: Options) -> int:
    body = {
        "service": options.text("SERVICE"),
        "fingerprint": options.text("FINGERPRINT"),
    }
    answer = options.control().post("/quarantine", body, 0.0)
    if answer["outcome"] != ACCEPTED:
        raise RefusedError(f"{answer['outcome']}: {answer['detail']}")
    print(answer["detail"])
    return EXIT_DONE
