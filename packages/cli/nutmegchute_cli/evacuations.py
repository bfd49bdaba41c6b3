"""List, begin and finish evacuations of availability zones."""

import datetime

from .errors import EXIT_DONE
from .options import Options
from .tables import print_rows

COLUMNS = ["availability_zone", "operator", "at"]


def run(options: Options) -> int:
    """Run the evacuations command that was given."""
    if options.is_given("begin"):
        return _submit(options, True)
    if options.is_given("finish"):
        return _submit(options, False)
    rows = options.control().get("/evacuations")
    if not options.json:
        for row in rows:
            row["at"] = _format_time(row["at_unix_s"])
    print_rows(rows, COLUMNS, options.json)
    return EXIT_DONE


def _submit(options: Options, evacuate: bool) -> int:
    body = {"availability_zone": options.text("ZONE"), "evacuate": evacuate}
    answer = options.control().post("/evacuations", body, options.wait_s)
    print(answer["detail"])
    return EXIT_DONE


def _format_time(unix_s: float) -> str:
    at = datetime.datetime.fromtimestamp(unix_s, tz=datetime.UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")
