"""Measure what it takes to bring a long configuration to entries.

Usage:
  transfers [--link=MBIT]... [ROUTES]...

Options:
  --link=MBIT  Rate of an entry's link, in Mbit/s [default: 0.8 3 1000].
"""

import asyncio
import json
import sys
import time

import msgspec
from docopt import docopt
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.transfers import Offer
from nutmegchute_core.transfers import PartRequest
from nutmegchute_core.transfers import Transfer
from nutmegchute_daemon.transfers import TreeOffers
from nutmegchute_platform.configurations import read_configuration

ROUTES = (200, 1_400, 10_000, 50_000)
BITS = 8
# Round trip and both heads of the exchange of a part.
ROUND_TRIP_S = 0.002
OVERHEAD_BYTES = 400


def build_documents(routes: int) -> dict[str, object]:
    """Build the documents of a configuration with a number of routes."""
    paths = []
    for number in range(routes):
        paths.append(
            {
                "name": f"route-{number}",
                "pathPrefix": f"/{number * 7919 % 1_000_003:x}/",
                "kind": "safe",
                "timeoutMs": 2000,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": "desk",
                "maxAttempts": 2,
            }
        )
    configuration = {
        "version": "r1",
        "baseVersion": "r0",
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 99}
        ],
        "limits": {"maxBodyBytes": 1_000_000},
        "virtualHosts": [{"hostname": "desk.example", "paths": paths}],
    }
    body = json.dumps(configuration).encode()
    return read_configuration(body, 0.0).documents


async def build_offer(tree: FollowReply) -> tuple[TreeOffers, Offer, float]:
    """Build the offer of a tree; return it and the seconds that it took."""
    offers = TreeOffers()
    began_at = time.perf_counter()
    offer = await offers.offer(tree, 0)
    took_s = time.perf_counter() - began_at
    assert offer is not None
    return offers, offer, took_s


async def fetch(
    offers: TreeOffers, offer: Offer, bytes_per_s: float
) -> tuple[float, float, int]:
    """Fetch an offer over a modelled link that nothing else uses.

    Return the seconds that it takes, those of the longest part, and the
    number of parts.
    """
    transfer = Transfer(offer)
    total_s = longest_s = 0.0
    parts = 0
    while transfer.missing:
        request: PartRequest = transfer.next_part()
        reply = await offers.handle_part(request)
        assert reply.data is not None
        size = len(reply.data) + OVERHEAD_BYTES
        part_s = ROUND_TRIP_S + size / bytes_per_s
        transfer.add(reply.data, part_s)
        total_s += part_s
        longest_s = max(longest_s, part_s)
        parts += 1
    return total_s, longest_s, parts


async def measure(routes: int, links: list[float]) -> None:
    """Print a row of the table for each link."""
    documents = build_documents(routes)
    tree = FollowReply(None, None, True, 1, {"platform": 1}, documents)
    size = len(msgspec.msgpack.encode(tree))
    offers, offer, took_s = await build_offer(tree)
    for link in links:
        total_s, longest_s, parts = await fetch(
            offers, offer, link * 1e6 / BITS
        )
        print(
            f"| {routes} | {size} | {offer.size} | {1000 * took_s:.1f} "
            f"| {link:g} | {total_s:.2f} | {1000 * longest_s:.0f} "
            f"| {parts} |"
        )


def main(argv: list[str]) -> None:
    """Measure each number of routes over each link."""
    arguments = docopt(__doc__ or "", argv)
    links = [
        float(one) for text in arguments["--link"] for one in text.split()
    ]
    print(
        "| routes | bytes | offered | build, ms | Mbit/s | transfer, s "
        "| longest part, ms | parts |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for routes in [int(one) for one in arguments["ROUTES"]] or ROUTES:
        asyncio.run(measure(routes, links))


if __name__ == "__main__":
    main(sys.argv[1:])
