"""Be a fake caller: learn the entries, connect, send, check answers."""

import time
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

ANSWERED = "answered"
REFUSED = "refused-not-run"
RAN = "ran"
UNKNOWN = "unknown"
WRONG = "wrong"

OUTCOME_HEADER = "Nutmegchute-Outcome"
TIMEOUT_S = 10.0


class NoEntryError(Exception):
    """Say that no known entry answered."""


class CallResult:
    """Hold what became of one request."""

    __slots__ = ("entry", "identity", "latency_s", "outcome")

    def __init__(
        self, identity: str, outcome: str, latency_s: float, entry: str
    ) -> None:
        self.identity = identity
        self.outcome = outcome
        self.latency_s = latency_s
        self.entry = entry


class FakeCaller:
    """Keep the entries' answer as long as it allows, then ask again."""

    __slots__ = (
        "_entries",
        "_kept_until",
        "_pool",
        "_seeds",
        "_turn",
        "_zone",
    )

    def __init__(self, seeds: list[str], zone: str | None = None) -> None:
        self._seeds = seeds
        self._zone = zone
        self._entries: list[str] = []
        self._kept_until = 0.0
        self._turn = 0
        self._pool = urllib3.PoolManager(
            timeout=TIMEOUT_S, retries=False, maxsize=64
        )

    def learn(self) -> list[str]:
        """Return the entries to use, asking anew when the answer is old.

        :raises NoEntryError: none of the known entries answered
        """
        if self._entries and time.monotonic() < self._kept_until:
            return self._entries
        query = f"?availability_zone={self._zone}" if self._zone else ""
        for address in [*self._entries, *self._seeds]:
            answer = self._ask(f"http://{address}/entries{query}")
            if answer is None or not answer["entries"]:
                continue
            self._kept_until = time.monotonic() + answer["keep_s"]
            self._entries = [word["address"] for word in answer["entries"]]
            return self._entries
        raise NoEntryError("no entry answered")

    def call(
        self,
        identity: str,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send one request to one entry and judge the answer."""
        entries = self.learn()
        self._turn += 1
        entry = entries[self._turn % len(entries)]
        started = time.perf_counter()
        outcome = self._send(
            f"http://{entry}/call/{service}{path}",
            method,
            body,
            {"X-Request-Id": identity, **(headers or {})},
        )
        latency_s = time.perf_counter() - started
        if outcome != ANSWERED:
            self._kept_until = 0.0
        return CallResult(identity, outcome, latency_s, entry)

    def _send(
        self, url: str, method: str, body: bytes, headers: dict[str, str]
    ) -> str:
        try:
            answer = self._pool.request(
                method, url, body=body or None, headers=headers
            )
        except NewConnectionError:
            return REFUSED
        except HTTPError:
            return UNKNOWN
        said = answer.headers.get(OUTCOME_HEADER)
        if said == "not-run":
            return REFUSED
        if said == "ran":
            return RAN
        if said is not None or answer.status != 200:
            return UNKNOWN
        document = msgspec.json.decode(answer.data)
        same = document["echo"] == headers["X-Request-Id"]
        whole = document["bytes"] == len(body)
        return ANSWERED if same and whole else WRONG

    def _ask(self, url: str) -> Any | None:
        try:
            answer = self._pool.request("GET", url)
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.data)
