"""List, order and take back evacuations of availability zones."""

import datetime

from .errors import EXIT_DONE
from .options import Options
from .tables import print_rows

COLUMNS = ["availability_zone", "operator", "at"]


def run(options: Options) -> int:
    """Run the evacuations command that was given."""
    if options.given("begin"):
        return _order(options, True)
    if options.given("finish"):
        return _order(options, False)
    rows = options.control().get("/evacuations")
    if not options.json:
        for row in rows:
            row["at"] = _stamp(row["at_unix_s"])
    print_rows(rows, COLUMNS, options.json)
    return EXIT_DONE


def _order(options: Options, evacuate: bool) -> int:
    body = {"availability_zone": options.text("ZONE"), "evacuate": evacuate}
    answer = options.control().post("/evacuations", body, options.wait_s)
    print(answer["detail"])
    return EXIT_DONE


def _stamp(unix_s: float) -> str:
    at = datetime.datetime.fromtimestamp(unix_s, tz=datetime.UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%SZ")
