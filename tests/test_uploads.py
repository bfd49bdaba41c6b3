"""Pass on long bodies: kept, sent once more, or passed through."""

import threading
from collections.abc import Iterator
from typing import Any

import pytest
from nutmegchute_core.routes import BUFFER_BYTES
from nutmegchute_core.routes import LARGE_BUFFER_BYTES
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.edges import BODY_BYTES
from nutmegchute_fakes.edges import drain
from nutmegchute_fakes.edges import Edge
from nutmegchute_fakes.faulty_upstreams import Behaviour
from nutmegchute_fakes.faulty_upstreams import Exchange
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream

PHOTOS = bytes(range(256)) * 1000
NOT_RUN = b"Nutmegchute-Outcome: not-run"
UNKNOWN = b"Nutmegchute-Outcome: unknown"
SHED = (
    b"HTTP/1.1 503 Shed\r\nNutmegchute-Not-Run: shed\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
HEAD = b"POST /call/catalogo/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
WAIT_S = 5.0
STEP_S = 0.05


def shed_early(exchange: Exchange) -> None:
    """Shed by the head alone, and read on to the body's end."""
    exchange.read_head()
    exchange.write(SHED)
    exchange.wait_for_close()


def shed_and_close(exchange: Exchange) -> None:
    """Shed by the head alone, and close with the body unread."""
    exchange.read_head()
    exchange.write(SHED)


class Scene:
    """Hold an entry's edge and the upstreams behind it."""

    def __init__(self, kept: int, behaviours: tuple[Behaviour, ...]) -> None:
        self.upstreams = [FaultyUpstream(one) for one in behaviours]
        self.edge = Edge([one.address for one in self.upstreams])
        self.edge.take_bodies(BODY_BYTES, kept)

    def upload(self, body: bytes = PHOTOS) -> bytes:
        """Send a body and return the answer."""
        return self.edge.call("/a", "POST", body)

    def bodies(self) -> list[bytes]:
        """List the bodies that came whole to an upstream."""
        requests = [
            one for upstream in self.upstreams for one in upstream.requests
        ]
        return [request.partition(b"\r\n\r\n")[2] for request in requests]

    def stop(self) -> None:
        """Stop all."""
        for one in self.upstreams:
            one.stop()
        self.edge.stop()


@pytest.fixture
def build() -> Iterator[Any]:
    """Build scenes and stop them at the end."""
    built: list[Scene] = []

    def one(*behaviours: Behaviour, kept: int = LARGE_BUFFER_BYTES) -> Scene:
        built.append(Scene(kept, behaviours))
        return built[-1]

    yield one
    for scene in built:
        scene.stop()


@pytest.mark.parametrize(
    "early", [faulty_upstreams.shed, shed_early, shed_and_close]
)
def test_shed_upload_runs_elsewhere(build: Any, early: Behaviour) -> None:
    """Send a kept body once more after "not run", unchanged.

    The first endpoint sheds it, before or after it has read the body, or
    closes with most of it unread. The caller sees one success; no endpoint
    runs it twice and none gets another's bytes.
    """
    scene = build(early, early, faulty_upstreams.answer)
    for _ in range(8):
        answer = scene.upload()
        if answer.startswith(b"HTTP/1.1 200"):
            break
    assert answer.startswith(b"HTTP/1.1 200"), answer[:200]
    assert scene.upstreams[2].requests
    assert set(scene.bodies()) == {PHOTOS}


def test_upload_too_long_to_keep_is_refused_as_not_run(build: Any) -> None:
    """Say "not run" where the body is gone with the attempt that was shed.

    The body passes through and cannot be had again. The caller, which has
    it, sends it once more.
    """
    scene = build(
        faulty_upstreams.shed, faulty_upstreams.answer, kept=BUFFER_BYTES
    )
    answers = [scene.upload() for _ in range(6)]
    for answer in answers:
        ran = answer.startswith(b"HTTP/1.1 200")
        assert ran or NOT_RUN in answer, answer[:200]
    assert set(scene.bodies()) == {PHOTOS}


def test_trickling_body_holds_no_slot(build: Any) -> None:
    """Leave endpoints alone until a body of usual length is in.

    A caller on a slow link sends a body bit by bit. Sent on as it comes,
    it would hold one of the endpoint's few slots all the while.
    """
    scene = build(faulty_upstreams.answer)
    half = len(PHOTOS) // 2
    with scene.edge.connect() as caller:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(PHOTOS)
        caller.sendall(head + PHOTOS[:half])
        threading.Event().wait(STEP_S)
        assert scene.upstreams[0].connections == 0
        caller.sendall(PHOTOS[half:])
        assert drain(caller).startswith(b"HTTP/1.1 200")
    assert scene.bodies() == [PHOTOS]


@pytest.mark.parametrize("kept", [BUFFER_BYTES, LARGE_BUFFER_BYTES])
def test_caller_that_stops_in_mid_body_runs_nothing(
    build: Any, kept: int
) -> None:
    """Run no part of a body whose caller has gone.

    The caller closes after two thirds. What came is no request, also where
    an endpoint has been sent its beginning.
    """
    scene = build(faulty_upstreams.answer, kept=kept)
    with scene.edge.connect() as caller:
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(PHOTOS)
        caller.sendall(head + PHOTOS[: len(PHOTOS) * 2 // 3])
    _wait_until(lambda: scene.edge.handler.active == 0)
    assert scene.bodies() == []
    assert scene.upload().startswith(b"HTTP/1.1 200")


def test_chunked_upload_is_kept_as_well(build: Any) -> None:
    """Send a body without a length once more, byte for byte."""
    scene = build(faulty_upstreams.shed, faulty_upstreams.answer)
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(piece), piece)
        for piece in (PHOTOS[:100000], PHOTOS[100000:])
    )
    request = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
    for _ in range(6):
        answer = scene.edge.say(request + b"0\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200"), answer[:200]
    assert set(scene.bodies()) == {PHOTOS}


def test_lost_upload_is_never_repeated(build: Any) -> None:
    """Leave an upload alone that an endpoint may have run.

    The endpoint resets the connection once the body is in. Sent again, one
    bundle could be filed twice.
    """
    scene = build(
        faulty_upstreams.reset_at_once, faulty_upstreams.reset_at_once
    )
    assert UNKNOWN in scene.upload()
    assert len(scene.bodies()) == 1


def test_many_uploads_at_once(build: Any) -> None:
    """Serve bodies at the limit side by side, each whole and unmixed."""
    scene = build(faulty_upstreams.answer)
    bodies = [bytes([number]) * (BODY_BYTES - 1) for number in range(6)]
    answers: list[bytes] = []

    def send(body: bytes) -> None:
        answers.append(scene.upload(body))

    threads = [threading.Thread(target=send, args=(one,)) for one in bodies]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    served = [one for one in answers if one.startswith(b"HTTP/1.1 200")]
    refused = [one for one in answers if NOT_RUN in one]
    assert len(served) + len(refused) == len(bodies)
    assert len(served) == len(scene.bodies())
    assert set(scene.bodies()) <= set(bodies)


def _wait_until(what: Any) -> None:
    for _ in range(int(WAIT_S / STEP_S)):
        if what():
            return
        threading.Event().wait(STEP_S)
    raise AssertionError("it did not come true")
