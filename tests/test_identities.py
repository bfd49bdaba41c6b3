"""Test how an entry identifies the organisation of a call."""

from types import SimpleNamespace
from typing import Any

import pytest
from nutmegchute_core.balancers import WITHDRAWN
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Refuse
from nutmegchute_core.claims import FIRST
from nutmegchute_core.claims import NOT_RUN
from nutmegchute_core.rules import read_services
from nutmegchute_daemon.claims import build_claim
from nutmegchute_daemon.entries import EntryDaemon
from nutmegchute_daemon.fingerprints import fingerprint
from nutmegchute_daemon.identities import Identifier
from nutmegchute_daemon.identities import KEY_MISSING
from nutmegchute_daemon.identities import KEY_UNCLEAR
from nutmegchute_daemon.identities import KEY_UNKNOWN
from nutmegchute_daemon.pending_calls import Arrival
from nutmegchute_daemon.pending_calls import PendingCall
from nutmegchute_daemon.readers import read_key
from nutmegchute_daemon.senders import Request
from support import rule
from support import team
from urllib3 import HTTPHeaderDict

HEADER = "Nutmegchute-Organisation"
KEY = b"k1"


def build_tree(**organisations: list[str]) -> dict[str, Any]:
    """Build a tree of organisations by their keys."""
    section = {name: {"keys": keys} for name, keys in organisations.items()}
    return {"lending": {"services": {}, "organisations": section}}


def build_call(
    key: bytes | None, *fields: tuple[str, str], name: str | None = None
) -> PendingCall:
    """Build a call with a key; ``name`` is its idempotency key."""
    headers = HTTPHeaderDict(fields)
    if key is not None:
        headers["Authorization"] = f"Bearer {key.decode('latin-1')}"
    request = Request("POST", "/loans", headers, b"book")
    arrival = Arrival("catalogo", "POST", "/loans", None, 1, key=key)
    claim = None
    if name is not None:
        claim = build_claim("catalogo", name, "POST", "/loans", b"book")
    return PendingCall(arrival, request, 0, claim)


def build_identifier(**organisations: list[str]) -> Identifier:
    """Build an identifier with organisations in force."""
    identifier = Identifier(HEADER)
    identifier.configure(build_tree(**organisations))
    return identifier


@pytest.mark.parametrize(
    ("key", "anonymous", "reason"),
    [
        (None, False, KEY_MISSING),
        (None, True, None),
        (b"", False, KEY_UNCLEAR),
        (b"", True, KEY_UNCLEAR),
        (b"k2", False, KEY_UNKNOWN),
        (b"k2", True, KEY_UNKNOWN),
        (b"\xff\x00\x80", False, KEY_UNKNOWN),
        (KEY, False, None),
        (KEY, True, None),
    ],
)
def test_reason_of_a_denial(
    key: bytes | None, anonymous: bool, reason: str | None
) -> None:
    """Deny a wrong key also where none is needed."""
    denial = build_identifier(cusco=["k1"]).identify(
        build_call(key), anonymous
    )
    assert (None if denial is None else denial.reason) == reason


@pytest.mark.parametrize(
    ("values", "key"),
    [
        ([], None),
        (["Bearer k1"], b"k1"),
        (["bearer  k1\t"], b"k1"),
        (["Bearer k1 k2"], b"k1 k2"),
        (["Bearer"], b""),
        (["Bearer "], b""),
        (["Bearer\tk1"], None),
        (["Basic k1"], None),
        (["k1"], None),
        ([""], None),
        (["Bearer k1", "Bearer k1"], b""),
        (["Basic k1", "Bearer k1"], b""),
        (["Bearer \xc3\xa0"], "à".encode()),
        (["Bearer \xa0k1\x85"], b"\xa0k1\x85"),
    ],
)
def test_key_is_read_as_sent(values: list[str], key: bytes | None) -> None:
    """Take one key of one header; several are not told apart."""
    fields = [("Host", "x")]
    fields += [("AuThorization", value) for value in values]
    http: Any = SimpleNamespace(fields=fields)
    assert read_key(http) == key


def test_underscore_spelling_is_removed() -> None:
    """Remove the spelling that many servers take for the same header."""
    call = build_call(
        KEY,
        ("Nutmegchute_Organisation", "lima"),
        ("NUTMEGCHUTE-organisation", "lima"),
        ("nutmegchute-Organisation", "lima"),
    )
    assert build_identifier(cusco=["k1"]).identify(call, False) is None
    assert list(call.request.headers.items()) == [(HEADER, "cusco")]


def test_name_is_sent_in_utf_8() -> None:
    """Write a name of any script, although headers are Latin-1."""
    call = build_call(KEY)
    assert build_identifier(**{"ñ-雪": ["k1"]}).identify(call, False) is None
    value = call.request.headers[HEADER]
    assert value.encode("latin-1").decode() == "ñ-雪"


def test_fingerprint_depends_on_the_organisation() -> None:
    """Recognise a request whose caller has exchanged its key.

    Nothing derived from the key is logged, also where the call is denied or
    is refused before a configuration is known.
    """
    identifier = build_identifier(cusco=["k1", "k2"], lima=["k3"])
    calls = [build_call(one) for one in (KEY, b"k2", b"k3", b"k4", None)]
    before = {call.fingerprint for call in calls}
    assert len(before) == 1
    for call in calls:
        identifier.identify(call, False)
    first, second, third, unknown, missing = [one.fingerprint for one in calls]
    assert first == second
    assert unknown == missing
    assert len({first, third, unknown}) == 3


def test_call_identified_twice_keeps_its_fingerprint() -> None:
    """Guard against another fingerprint after a change of the tree.

    Other entries would not recognize the request that crashes endpoints.
    """
    identifier = build_identifier(cusco=["k1"])
    once, twice = build_call(b"k1"), build_call(b"k1")
    for call in (once, twice, twice):
        assert identifier.identify(call, False) is None
    assert twice.fingerprint == once.fingerprint


def test_fingerprint_without_organisations_stays_as_it_was() -> None:
    """Tell callers apart by the header where no keys are declared.

    Entries of two versions must agree during an upgrade.
    """
    for key in (None, KEY):
        call = build_call(key, ("Cookie", "a=1"))
        assert Identifier(HEADER).identify(call, False) is None
        assert call.fingerprint == fingerprint("", "catalogo", call.request)
    assert "Authorization" in call.request.headers


def test_waiting_call_is_identified_anew() -> None:
    """Follow a key through changes of the tree, while its call waits."""
    identifier = build_identifier(cusco=["k1"])
    call = build_call(KEY)
    identifier.identify(call, False)
    print_before = call.fingerprint
    identifier.configure(build_tree(cusco=["k1", "k2"]))
    assert identifier.confirm(call)
    identifier.configure(build_tree(cusco=["k2"], lima=["k1"]))
    assert identifier.confirm(call)
    assert call.organisation is not None
    assert call.organisation.name == "lima"
    assert call.request.headers[HEADER] == "lima"
    # Reports about the call in flight name its request by this.
    assert call.fingerprint == print_before
    identifier.configure(build_tree(cusco=["k2"]))
    assert not identifier.confirm(call)
    identifier.configure({"lending": {"services": {}}})
    assert identifier.confirm(call)


def test_call_from_before_the_organisations_loses_its_key() -> None:
    """Send no key that arrived while none was required."""
    identifier = Identifier(HEADER)
    calls = [build_call(one, (HEADER, "x")) for one in (KEY, b"k9", None)]
    for call in calls:
        assert identifier.identify(call, False) is None
        assert call.request.headers[HEADER] == "x"
    identifier.configure(build_tree(cusco=["k1"]))
    assert all(identifier.confirm(call) for call in calls)
    found = [list(call.request.headers.items()) for call in calls]
    assert found == [[(HEADER, "cusco")], [], []]


class EntryHarness:
    """Run an entry's admission of calls with its parts replaced."""

    def __init__(self, identifier: Identifier) -> None:
        self.admitted: list[PendingCall] = []
        self.settled: list[str] = []
        self.counts: list[str] = []
        self.claims: list[Any] = []
        entry: Any = object.__new__(EntryDaemon)
        loan = rule(name="loan", method="POST", idempotent=False)
        entry._services = read_services({"lending": team(catalogo=[loan])})
        entry._identifier = identifier
        entry._follower = SimpleNamespace(
            may_route=lambda: True, has_lease=True
        )
        entry._loop = SimpleNamespace(time=lambda: 0.0)
        entry._open_claims = 0
        entry._claimer = SimpleNamespace(
            claim=lambda claim, wait_s, answer: self.claims.append(answer),
            settle=lambda settlement: self.settled.append(settlement.outcome),
        )
        entry._dispatcher = SimpleNamespace(
            admit=lambda call, deadline_s: self.admitted.append(call)
        )
        entry._metrics = SimpleNamespace(count=self.counts.append)
        entry._balancer = SimpleNamespace(
            is_late=lambda *values: False, is_cut_off=False
        )
        self.returned: list[PendingCall] = []
        entry._quotas = SimpleNamespace(
            open=lambda call, admit, is_late=False: admit(),
            give_back=self.returned.append,
        )
        self.entry = entry


@pytest.mark.parametrize("is_withdrawn", [False, True])
def test_key_withdrawn_during_a_claim(is_withdrawn: bool) -> None:
    """Send no call whose key was withdrawn while the ledger was asked.

    Such a call is not yet known to the dispatcher, which ends the others.
    Its claim is given back, so that the caller may send it with a new key.
    """
    identifier = build_identifier(cusco=["k1"])
    harness = EntryHarness(identifier)
    call = build_call(KEY, name="loan-1")
    harness.entry.open_call(call)
    (on_answer,) = harness.claims
    assert harness.admitted == []
    if is_withdrawn:
        identifier.configure(build_tree(cusco=["k2"]))
    on_answer(SimpleNamespace(outcome=FIRST, status=0))
    if not is_withdrawn:
        assert harness.admitted == [call]
        assert harness.settled == []
        return
    assert harness.admitted == []
    assert harness.settled == [NOT_RUN]
    assert harness.returned == [call]
    assert harness.counts == ["withdrawn"]
    action, _ = call.next_action(0.0)
    assert isinstance(action, Deny)
    assert action.reason == WITHDRAWN


@pytest.mark.parametrize(
    ("key", "has_lease", "answer"),
    [
        (b"k9", True, Deny),
        (b"k9", False, Refuse),
        (b"", False, Deny),
        (None, False, Deny),
    ],
)
def test_unknown_key_without_a_lease_is_refused(
    key: bytes | None, has_lease: bool, answer: type[Deny] | type[Refuse]
) -> None:
    """Refuse a key that a newer tree may have; deny what none accepts."""
    harness = EntryHarness(build_identifier(cusco=["k1"]))
    harness.entry._follower.has_lease = has_lease
    call = build_call(key)
    harness.entry.open_call(call)
    action, _ = call.next_action(0.0)
    assert type(action) is answer
    assert harness.admitted == []
    assert harness.counts == (["denied"] if answer is Deny else [])
