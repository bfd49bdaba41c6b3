"""Talk to the control replicas over HTTP."""

from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from .errors import OutcomeUnknownError
from .errors import RefusedError
from .errors import UnreachableError

TIMEOUT_S = 5.0
OPERATOR_HEADER = "Nutmegchute-Operator"


class ControlClient:
    """Ask whichever control replica answers."""

    __slots__ = ("_addresses", "_headers", "_pool")

    def __init__(self, addresses: list[str], key: str) -> None:
        self._addresses = addresses
        self._headers = {OPERATOR_HEADER: key}
        self._pool = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)

    def get(self, path: str) -> Any:
        """Ask the replicas in turn.

        :raises UnreachableError: none answered
        """
        for address in self._addresses:
            answer = self._get(address, path)
            if answer is not None:
                return answer
        tried = ", ".join(self._addresses)
        raise UnreachableError(
            f"no control replica answered (tried {tried}); check --control"
        )

    def get_from_leader(self, path: str) -> Any | None:
        """Ask the replica that leads; None says that none does."""
        for address in self._addresses:
            status = self._get(address, "/status")
            if status is not None and status["state"] == "leader":
                return self._get(address, path)
        return None

    def change(self, body: dict[str, Any]) -> Any:
        """Send a change, following the leader.

        :raises RefusedError: control refused it
        :raises OutcomeUnknownError: it may have been accepted
        :raises UnreachableError: it reached no replica
        """
        data = msgspec.json.encode(body)
        lost = False
        for address in self._addresses:
            try:
                answer = self._post(f"http://{address}/changes", data)
            except HTTPError:
                lost = True
                continue
            if answer.status == 200:
                return msgspec.json.decode(answer.data)
            if answer.status in (400, 401, 403):
                raise RefusedError(_reason(answer))
            lost = True
        if lost:
            raise OutcomeUnknownError(
                "the change may or may not have been accepted; "
                "run the same command again: it cannot apply twice"
            )
        raise UnreachableError("no control replica answered")

    def _post(self, url: str, data: bytes) -> urllib3.BaseHTTPResponse:
        answer = self._pool.request(
            "POST", url, body=data, headers=self._headers, redirect=False
        )
        if answer.status != 307:
            return answer
        return self._pool.request(
            "POST",
            answer.headers["Location"],
            body=data,
            headers=self._headers,
            redirect=False,
        )

    def _get(self, address: str, path: str) -> Any | None:
        try:
            answer = self._pool.request("GET", f"http://{address}{path}")
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.data)


def _reason(answer: urllib3.BaseHTTPResponse) -> str:
    return f"control refused: {answer.status} {answer.reason}"
