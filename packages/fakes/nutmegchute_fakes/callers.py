"""Simulate a caller: discover entries, send requests, check answers."""

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
    """Report that no known entry answers."""


class CallResult:
    """Hold the outcome and latency of one request."""

    __slots__ = ("entry", "latency_s", "outcome", "request_id", "status")

    def __init__(
        self,
        request_id: str,
        outcome: str,
        latency_s: float,
        entry: str,
        status: int,
    ) -> None:
        self.request_id = request_id
        self.outcome = outcome
        self.latency_s = latency_s
        self.entry = entry
        # 0 without an answer.
        self.status = status


class FakeCaller:
    """Send calls to the entries in turn; cache the list of entries.

    The list is fetched again once it expires and after every call whose
    outcome is not ANSWERED.
    """

    __slots__ = (
        "_call_count",
        "_entries",
        "_expires_at",
        "_pool",
        "_seeds",
        "_zone",
    )

    def __init__(self, seeds: list[str], zone: str | None = None) -> None:
        self._seeds = seeds
        self._zone = zone
        self._entries: list[str] = []
        self._expires_at = 0.0
        self._call_count = 0
        self._pool = urllib3.PoolManager(
            timeout=TIMEOUT_S, retries=False, maxsize=64
        )

    def list_entries(self) -> list[str]:
        """Return the addresses of the entries, fetched again when expired.

        :raises NoEntryError: none of the known entries answered
        """
        if self._entries and time.monotonic() < self._expires_at:
            return self._entries
        query = f"?availability_zone={self._zone}" if self._zone else ""
        for address in [*self._entries, *self._seeds]:
            answer = self._fetch(f"http://{address}/entries{query}")
            if answer is None or not answer["entries"]:
                continue
            self._expires_at = time.monotonic() + answer["keep_s"]
            self._entries = [item["address"] for item in answer["entries"]]
            return self._entries
        raise NoEntryError("no entry answered")

    def call(
        self,
        request_id: str,
        service: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Send one request to the next entry and classify the answer."""
        entries = self.list_entries()
        self._call_count += 1
        entry = entries[self._call_count % len(entries)]
        started = time.perf_counter()
        outcome, status = self._send(
            f"http://{entry}/call/{service}{path}",
            method,
            body,
            {"X-Request-Id": request_id, **(headers or {})},
        )
        latency_s = time.perf_counter() - started
        if outcome != ANSWERED:
            self._expires_at = 0.0
        return CallResult(request_id, outcome, latency_s, entry, status)

    def _send(
        self, url: str, method: str, body: bytes, headers: dict[str, str]
    ) -> tuple[str, int]:
        try:
            answer = self._pool.request(
                method, url, body=body or None, headers=headers
            )
        except NewConnectionError:
            return REFUSED, 0
        except HTTPError:
            return UNKNOWN, 0
        return _classify(answer, headers["X-Request-Id"], body), answer.status

    def _fetch(self, url: str) -> Any | None:
        try:
            answer = self._pool.request("GET", url)
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.data)


def _classify(
    answer: urllib3.BaseHTTPResponse, request_id: str, body: bytes
) -> str:
    reported = answer.headers.get(OUTCOME_HEADER)
    if reported == "not-run":
        return REFUSED
    if reported == "ran":
        return RAN
    if reported is not None or answer.status != 200:
        return UNKNOWN
    document = msgspec.json.decode(answer.data)
    is_own = document["echo"] == request_id
    is_complete = document["bytes"] == len(body)
    return ANSWERED if is_own and is_complete else WRONG
