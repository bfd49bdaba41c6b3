"""Exchange messages between daemons by gRPC."""

import asyncio
import socket

import pytest
from nutmegchute_core.peers import Acknowledgement
from nutmegchute_core.peers import Confirmation
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.methods import SEEN
from nutmegchute_fakes.clusters import find_free_address

TIMEOUT_S = 10.0


async def interrupt_request(cancel: bool) -> Acknowledgement | None:
    """Send a request, then drop the channel or cancel the task."""
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
        return await task
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
