"""Exchange messages between daemons by gRPC."""

import asyncio
import socket

import pytest
from nutmegchute_core.peers import Acknowledgement
from nutmegchute_core.peers import Confirmation
from nutmegchute_daemon import links as links_module
from nutmegchute_daemon.events import Event
from nutmegchute_daemon.links import DROPPED
from nutmegchute_daemon.links import INVALID_REPLY
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.links import LONG_REPLY_BYTES
from nutmegchute_daemon.methods import SEEN
from nutmegchute_fakes.clusters import find_free_address

TIMEOUT_S = 10.0


async def interrupt_request(cancel: bool) -> Acknowledgement | None:
    """Send a request, then drop the channel or cancel the task.

    The failure is checked where a reply is missing.
    """
    address = find_free_address()
    server, client = Links(), Links()
    received = asyncio.Event()

    async def hold(_: Confirmation) -> Acknowledgement:
        received.set()
        await asyncio.sleep(TIMEOUT_S)
        return Acknowledgement()

    server.serve(SEEN, hold)
    await server.start(address)
    task = asyncio.ensure_future(
        client.send_request(address, SEEN, Confirmation("a", 1, 1), TIMEOUT_S)
    )
    try:
        await received.wait()
        if cancel:
            task.cancel()
        else:
            client.drop(address)
        reply: Acknowledgement | None = await task
        assert client.failure(address) == DROPPED
        return reply
    finally:
        await client.stop(0)
        await server.stop(0)


def test_request_on_a_dropped_channel_gets_no_reply() -> None:
    """Return None if another exchange drops the channel.

    During a partition of two replicas a replication message times out and
    drops the channel, on which a request is held. If that ended the loop that
    sends requests, the two would not exchange registries after the partition.
    """
    assert asyncio.run(interrupt_request(cancel=False)) is None


def test_cancelled_task_ends() -> None:
    """Raise CancelledError if the task itself is cancelled."""
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(interrupt_request(cancel=True))


def test_channel_dropped_while_it_connects_is_not_open() -> None:
    """Return False if another exchange drops the connecting channel."""

    async def open_and_drop() -> bool:
        with socket.socket() as listener:
            # It never accepts, so no channel to it becomes ready.
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            client = Links()
            opening = asyncio.ensure_future(client.open(address, TIMEOUT_S))
            await asyncio.sleep(0.1)
            client.drop(address)
            try:
                return await asyncio.wait_for(opening, TIMEOUT_S / 2)
            finally:
                await client.stop(0)

    assert asyncio.run(open_and_drop()) is False


async def send_to(reply: object, timeout_s: float) -> str:
    """Send a request that gets a reply after 0.1 s; return the failure."""
    address = find_free_address()
    server, client = Links(), Links()

    async def answer(_: Confirmation) -> object:
        await asyncio.sleep(0.1)
        return reply

    server.serve(SEEN, answer)
    await server.start(address)
    try:
        await client.send_request(
            address, SEEN, Confirmation("a", 1, 1), timeout_s
        )
        sent = server.pop_sent_bytes()
        assert sent.total() == 0 or sent == {SEEN.name: sent.total()}
        assert server.pop_sent_bytes() == {}
        return client.failure(address)
    finally:
        await client.stop(0)
        await server.stop(0)


@pytest.mark.parametrize(
    ("reply", "timeout_s", "failure"),
    [
        (Acknowledgement(), TIMEOUT_S, ""),
        (Acknowledgement(), 0.02, "deadline_exceeded"),
        (b"no such message", TIMEOUT_S, INVALID_REPLY),
    ],
)
def test_failure_names_its_reason(
    reply: object, timeout_s: float, failure: str
) -> None:
    """Guard against failures whose causes the log cannot tell apart."""
    assert asyncio.run(send_to(reply, timeout_s)) == failure


def test_long_reply_is_logged(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against long replies that leave no trace at their sender."""
    logged = []

    def record(event: Event, level: str = "info", **fields: object) -> None:
        logged.append((event, fields))

    monkeypatch.setattr(links_module, "log", record)
    asyncio.run(send_to(bytes(LONG_REPLY_BYTES // 2), TIMEOUT_S))
    assert logged == []
    asyncio.run(send_to(bytes(LONG_REPLY_BYTES), TIMEOUT_S))
    assert [event for event, _ in logged] == [Event.REPLY_LONG]
    assert logged[0][1]["method"] == SEEN.name
