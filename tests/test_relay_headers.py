"""Test what entries believe of a call that another one passes on."""

from types import SimpleNamespace
from typing import Any

import pytest
from nutmegchute_core.calls import Deny
from nutmegchute_daemon.answers import AnswerFormat
from nutmegchute_daemon.answers import BrokenAnswerError
from nutmegchute_daemon.call_formats import CallFormat
from nutmegchute_daemon.identities import Identifier
from nutmegchute_daemon.identities import prove_key
from nutmegchute_daemon.pending_calls import Arrival
from nutmegchute_daemon.pending_calls import PendingCall
from nutmegchute_daemon.readers import build_request
from nutmegchute_daemon.relays import build_door
from nutmegchute_daemon.relays import RelayDoor
from nutmegchute_daemon.relays import RelayFormat
from nutmegchute_daemon.senders import Request
from nutmegchute_platform.calls import PlatformCalls
from urllib3 import HTTPHeaderDict
from urllib3.response import HTTPResponse

ADDRESS = "127.0.0.1:7006"
OUTCOME = "Nutmegchute-Relay-Outcome"
TREE = {"members": {"organisations": {"cusco": {"keys": ["k1"]}}}}


def build_http(*fields: tuple[str, str], **more: Any) -> Any:
    """Build a request as the server has read it."""
    headers = {name.title().encode(): one.encode() for name, one in fields}
    return SimpleNamespace(
        inheaders=headers, fields=list(fields), method=b"GET", **more
    )


def build_answer(status: int, **headers: str) -> HTTPResponse:
    """Build an answer of a helper."""
    named = {name.replace("_", "-"): one for name, one in headers.items()}
    return HTTPResponse(status=status, headers=named, preload_content=False)


@pytest.mark.parametrize(
    "name",
    [
        "Nutmegchute-Relay-Token",
        "nutmegchute-relay-key",
        "NUTMEGCHUTE_RELAY_CLAIMED",
    ],
)
def test_callers_cannot_set_the_headers_of_entries(name: str) -> None:
    """Guard against a caller that hands in a call as an entry does."""
    http = build_http((name, "x"), ("X-Own", "y"))
    http.inheaders = {}
    http.rfile = SimpleNamespace(read=lambda size: b"")
    http.chunked_read = False
    request = build_request(http, "/", 1000, 1000)
    assert [one.lower() for one in request.headers] == ["x-own", "user-agent"]


@pytest.mark.parametrize("answers", [AnswerFormat(), PlatformCalls()])
def test_upstreams_cannot_set_the_headers_of_entries(
    answers: AnswerFormat,
) -> None:
    """Guard against an upstream that makes a call look not run."""
    assert not answers.is_forwarded("nutmegchute-relay-outcome")
    assert answers.is_forwarded("x-own")


def test_only_the_token_of_this_process_is_admitted() -> None:
    """Guard against calls for an earlier process, or from outside."""
    door = build_door(ADDRESS)
    other = build_door(ADDRESS)
    assert door is not None and other is not None
    name = "Nutmegchute-Relay-Token"
    assert door.admits(build_http((name, door.address.token)))
    assert not door.admits(build_http((name, other.address.token)))
    assert not door.admits(build_http((name, "")))
    assert not door.admits(build_http())


def test_answer_without_an_outcome_is_unknown() -> None:
    """Guard against a call repeated that a helper may have sent."""
    relay = RelayFormat(CallFormat())
    sent = HTTPHeaderDict()
    for answer in (
        build_answer(200),
        build_answer(503),
        build_answer(502, Nutmegchute_Relay_Outcome="unknown"),
    ):
        assert not relay.is_not_run(answer)
        with pytest.raises(BrokenAnswerError):
            relay.check(sent, answer)
    full = build_answer(503, Nutmegchute_Outcome="not-run")
    assert relay.is_not_run(full) and relay.refusal(full).elsewhere
    final = build_answer(
        503,
        Nutmegchute_Outcome="not-run",
        Nutmegchute_Relay_Outcome="not-run",
        Nutmegchute_Relay_Reason="too many wait",
        Nutmegchute_Relay_Retry="0.250",
    )
    refusal = relay.refusal(final)
    assert relay.is_not_run(final) and not refusal.elsewhere
    assert (refusal.reason, refusal.retry_after_s) == ("too many wait", 0.25)


@pytest.mark.parametrize("outcome", ["not-run", "elsewhere", "full"])
def test_refusal_that_contradicts_itself_is_not_believed(
    outcome: str,
) -> None:
    """Guard against "not run" with a status or a word that it ran."""
    relay = RelayFormat(CallFormat())
    sent = HTTPHeaderDict({"Nutmegchute-Relay-Call": "a.1.1"})
    for status, told in (
        (200, "not-run"),
        (302, "not-run"),
        (502, "unknown"),
        (503, "not-run, unknown"),
        (503, ""),
    ):
        answer = build_answer(
            status,
            Nutmegchute_Outcome=told,
            Nutmegchute_Relay_Call="a.1.1",
            Nutmegchute_Relay_Outcome=outcome,
        )
        with pytest.raises(BrokenAnswerError, match="outcome unknown"):
            relay.check(sent, answer)


def build_relayed_call(door: RelayDoor, key: bytes) -> PendingCall:
    """Build a call as a helper reads it, with the proof of a key."""
    request = Request("GET", "/", HTTPHeaderDict())
    call = PendingCall(Arrival("desk", "GET", "/", None, 1), request, -1)
    proof = prove_key(key, door.address.token)
    door.describe(build_http(("Nutmegchute-Relay-Key", proof)), call)
    return call


def test_helper_finds_the_organisation_without_its_key() -> None:
    """Guard against keys sent on, and against keys that a proof outlives."""
    door = build_door(ADDRESS)
    assert door is not None
    identifier = Identifier("Organisation", door.address.token)
    identifier.configure(TREE)
    call = build_relayed_call(door, b"k1")
    assert identifier.identify(call, False) is None
    assert call.organisation is not None and call.organisation.name == "cusco"
    assert "k1" not in str(call.request.headers)
    wrong = build_relayed_call(door, b"k2")
    assert isinstance(identifier.identify(wrong, False), Deny)
    identifier.configure(
        {"members": {"organisations": {"cusco": {"keys": ["k3"]}}}}
    )
    assert not identifier.confirm(call)
