"""Measure the messages by which entries obtain permits.

Usage:
  quotas [--entries=LIST] [--organisations=LIST] [--calls=N] [--seconds=S]
         [--seed=N]

Options:
  --entries=LIST        Numbers of entries [default: 17,117,312].
  --organisations=LIST  Numbers of organisations [default: 79,1000].
  --calls=N             Calls a second of all organisations [default: 920].
  --seconds=S           Seconds measured [default: 20].
  --seed=N              Seed of the calls [default: 1].

Entries and 5 control replicas exchange messages in virtual time. The largest
organisation sends a quarter of all calls, the others sizes between 1 and 5,
and a quota is 1.6 times the rate. In a surge every organisation sends 4 times
its rate. Each exchange has 400 bytes of headers besides the messages.
"""

import random
from functools import partial

from docopt import docopt
from nutmegchute_core.organisations import Organisation
from nutmegchute_fakes.quotas import organisation
from nutmegchute_fakes.quotas import Site

HEADER_BYTES = 400
LARGEST_SHARE = 0.25
QUOTA_FACTOR = 1.6
SURGE_FACTOR = 4.0
FILL_S = 10.0
SETTLE_S = 5.0
ROW = "{:>7} {:>13} {:>6} {:>8} {:>10} {:>11} {:>9} {:>8} {:>9}"
HEADINGS = (
    "entries",
    "organisations",
    "load",
    "calls/s",
    "messages/s",
    "per replica",
    "bytes",
    "KB/s",
    "refused %",
)


def build_rates(count: int, calls_per_s: float, seed: int) -> dict[str, float]:
    """Return the calls a second of each organisation."""
    rng = random.Random(seed)
    sizes = [rng.uniform(1.0, 5.0) for _ in range(count - 1)]
    rest = calls_per_s * (1.0 - LARGEST_SHARE) / sum(sizes)
    rates = {"organisation-0": calls_per_s * LARGEST_SHARE}
    for number, size in enumerate(sizes):
        rates[f"organisation-{number + 1}"] = size * rest
    return rates


def measure(
    entries: int, rates: dict[str, float], factor: float, seconds: float
) -> tuple[float, ...]:
    """Return what one load costs, in the order of the headings."""
    quotas: list[Organisation] = []
    for name, rate in rates.items():
        limit = rate * QUOTA_FACTOR
        quotas.append(organisation(name, limit, limit))
    site = Site(entries, quotas, entries)
    site.run(FILL_S)
    for name, rate in rates.items():
        site.load(name, rate * factor, partial(_constant, rate * factor))
    site.run(SETTLE_S)
    before = (site.messages, site.bytes, site.requests.copy())
    offered = sum(len(one) for one in site.offered.values())
    refused = site.count("exceeded")
    site.run(seconds)
    messages = site.messages - before[0]
    offered = sum(len(one) for one in site.offered.values()) - offered
    most = max((site.requests - before[2]).values(), default=0)
    size = (site.bytes - before[1]) / max(1, messages)
    kilobytes = messages * (size + HEADER_BYTES) / 1000
    return (
        offered / seconds,
        messages / seconds,
        most / seconds,
        size,
        kilobytes / seconds / entries,
        100 * (site.count("exceeded") - refused) / max(1, offered),
    )


def _constant(rate: float, _: float) -> float:
    return rate


def main() -> None:
    """Print a row for each number of entries, organisations and load."""
    options = docopt(__doc__)
    print(ROW.format(*HEADINGS))
    for entries in map(int, options["--entries"].split(",")):
        for count in map(int, options["--organisations"].split(",")):
            rates = build_rates(
                count, float(options["--calls"]), int(options["--seed"])
            )
            for load, factor in (("usual", 1.0), ("surge", SURGE_FACTOR)):
                found = measure(
                    entries, rates, factor, float(options["--seconds"])
                )
                cells = [f"{one:.1f}" for one in found]
                print(ROW.format(entries, count, load, *cells), flush=True)


if __name__ == "__main__":
    main()
