"""Send requests to control replicas and entries over HTTP."""

import time
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from .errors import OutcomeUnknownError
from .errors import RefusedError
from .errors import UnreachableError
from .errors import UsageError

TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.2
MAX_REDIRECTS = 3
OPERATOR_HEADER = "Nutmegchute-Operator"

OK = 200
REDIRECT = 307
FINAL_STATUSES = frozenset({400, 401, 403, 404, 405, 409, 413, 422})
HINTS = {
    401: "set the variable NUTMEGCHUTE_KEY to your operator's key",
    403: "ask an operator whose settings include that branch",
    404: "this control replica is too old for the command",
    409: "see nutmegchute replicas and status",
}


class ControlClient:
    """Send requests to a group of control replicas."""

    __slots__ = ("_addresses", "_headers", "_pool")

    def __init__(self, addresses: list[str], key: str) -> None:
        self._addresses = addresses
        self._headers = _build_headers(key)
        self._pool = _build_pool()

    def get(self, path: str) -> Any:
        """Query the leader or, without one, any replica that answers.

        :raises RefusedError: the replica refused this operator
        :raises UnreachableError: no replica answered
        """
        leader = self._find_leader()
        candidates = [one for one in self._addresses if one != leader]
        if leader is not None:
            candidates.insert(0, leader)
        for address in candidates:
            answer = self._get(address, path)
            if answer is not None:
                return answer
        raise self._unreachable()

    def get_from_leader(self, path: str) -> Any | None:
        """Query the leader; return None without a leader or an answer."""
        leader = self._find_leader()
        return None if leader is None else self._get(leader, path)

    def statuses(self) -> dict[str, Any]:
        """Return the status of the replica at each address, None if silent.

        :raises UnreachableError: no replica answered
        """
        found = {
            address: self._get(address, "/status")
            for address in self._addresses
        }
        if not any(found.values()):
            raise self._unreachable()
        return found

    def post(self, path: str, body: Any, wait_s: float) -> Any:
        """Send a request to the replicas in turn until its outcome is known.

        The request must be idempotent, as it may be sent several times.

        :raises RefusedError: control refused the request
        :raises OutcomeUnknownError: it may have been accepted
        :raises UnreachableError: it reached no replica
        """
        data = msgspec.json.encode(body)
        deadline = time.monotonic() + wait_s
        reached = False
        while True:
            for address in self._addresses:
                try:
                    answer = self._post(f"http://{address}{path}", data)
                except HTTPError as error:
                    reached = reached or not _is_unsent(error)
                    continue
                if answer.status == OK:
                    return msgspec.json.decode(answer.data)
                if answer.status in FINAL_STATUSES:
                    raise RefusedError(_format_reason(answer))
                # 503 means that nothing was proposed. After any other
                # status the change may be in the log.
                reached = reached or answer.status != 503
            if time.monotonic() >= deadline:
                break
            time.sleep(RETRY_DELAY_S)
        if reached:
            raise OutcomeUnknownError(
                "it may or may not have been accepted; run the same "
                "command again: it cannot apply twice"
            )
        raise self._unreachable()

    def _find_leader(self) -> str | None:
        for address in self._addresses:
            status = self._get(address, "/status")
            if status is not None and status["state"] == "leader":
                return address
        return None

    def _post(self, url: str, data: bytes) -> urllib3.BaseHTTPResponse:
        for _ in range(MAX_REDIRECTS):
            answer = self._pool.request(
                "POST", url, body=data, headers=self._headers, redirect=False
            )
            if answer.status != REDIRECT:
                break
            url = answer.headers["Location"]
        return answer

    def _get(self, address: str, path: str) -> Any | None:
        return _get(self._pool, address, path, self._headers)

    def _unreachable(self) -> UnreachableError:
        tried = ", ".join(self._addresses)
        return UnreachableError(
            f"no control replica answered (tried {tried}); nothing was "
            "done; check --control and that a majority of replicas runs"
        )


class EntryClient:
    """Send requests to one entry."""

    __slots__ = ("_address", "_headers", "_pool")

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = _build_headers(key)
        self._pool = _build_pool()

    @property
    def address(self) -> str:
        """Return the HTTP address of the entry."""
        return self._address

    def get(self, path: str) -> Any:
        """Query the entry.

        :raises UnreachableError: the entry did not answer
        """
        answer = self.get_or_none(path)
        if answer is None:
            raise UnreachableError(
                f"entry {self._address} did not answer; check --entry, or "
                "try another entry"
            )
        return answer

    def get_or_none(self, path: str) -> Any | None:
        """Query the entry; return None if it does not answer."""
        return _get(self._pool, self._address, path, self._headers)

    def post(self, path: str) -> Any:
        """Send an idempotent request without a body.

        :raises RefusedError: the entry refused the request
        :raises UnreachableError: the entry did not answer
        """
        try:
            answer = self._pool.request(
                "POST", f"http://{self._address}{path}", headers=self._headers
            )
        except HTTPError as error:
            raise UnreachableError(
                f"entry {self._address} did not answer; it may have "
                "stopped already"
            ) from error
        if answer.status != OK:
            raise RefusedError(_format_reason(answer))
        return msgspec.json.decode(answer.data)


def _build_pool() -> urllib3.PoolManager:
    return urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)


def _build_headers(key: str) -> dict[str, str]:
    return {OPERATOR_HEADER: key}


def _get(
    pool: urllib3.PoolManager,
    address: str,
    path: str,
    headers: dict[str, str],
) -> Any | None:
    try:
        answer = pool.request(
            "GET", f"http://{address}{path}", headers=headers
        )
    except urllib3.exceptions.LocationValueError as error:
        raise UsageError(f"{address}: not an address (IP:PORT)") from error
    except HTTPError:
        return None
    if answer.status in (401, 403):
        raise RefusedError(_format_reason(answer))
    if answer.status != OK:
        return None
    return msgspec.json.decode(answer.data)


def _is_unsent(error: HTTPError) -> bool:
    return isinstance(error, urllib3.exceptions.NewConnectionError)


def _format_reason(answer: urllib3.BaseHTTPResponse) -> str:
    text = answer.data.decode(errors="replace").strip()
    if not text or text.startswith("<"):
        text = answer.reason or ""
    hint = HINTS.get(answer.status, "see docs/handbook.rst")
    return f"refused ({answer.status}): {text}; {hint}"
