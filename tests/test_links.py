"""Exchange messages between daemons by gRPC."""

import asyncio
import socket

import pytest
from nutmegchute_core.peers import Acknowledgement
from nutmegchute_core.peers import Confirmation
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.methods import SEEN

ANSWER_S = 10.0


def free_address() -> str:
    """Find an address nobody listens at."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def ask_and(cancel: bool) -> Acknowledgement | None:
    """Ask, then drop the channel or cancel the asking task."""
    address = free_address()
    server, client = Links(), Links()
    asked = asyncio.Event()

    async def hold(_: Confirmation) -> Acknowledgement:
        asked.set()
        await asyncio.sleep(ANSWER_S)
        return Acknowledgement()

    server.serve(SEEN, hold)
    await server.start(address)
    asking = asyncio.ensure_future(
        client.send_request(address, SEEN, Confirmation("a", 1, 1), ANSWER_S)
    )
    try:
        await asked.wait()
        if cancel:
            asking.cancel()
        else:
            client.drop(address)
        return await asking
    finally:
        await client.stop(0)
        await server.stop(0)


def test_dropped_channel_is_no_answer() -> None:
    """Give no answer where another exchange drops the channel.

    Two replicas are cut off from one another. A message of agreement times
    out and drops the channel, on which a question is held. Were that to end
    the loop that asks, the two would stay strangers after the cut.
    """
    assert asyncio.run(ask_and(cancel=False)) is None


def test_cancelled_asker_ends() -> None:
    """Let a task that is cancelled end, whatever it waits for."""
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(ask_and(cancel=True))


def test_channel_dropped_while_it_connects_is_not_open() -> None:
    """Go on where another exchange drops a channel that is connecting."""

    async def open_and_drop() -> bool:
        with socket.socket() as silent:
            # It never accepts, and so no channel to it is ever ready.
            silent.bind(("127.0.0.1", 0))
            silent.listen()
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            client = Links()
            opening = asyncio.ensure_future(client.open(address, ANSWER_S))
            await asyncio.sleep(0.1)
            client.drop(address)
            try:
                return await asyncio.wait_for(opening, ANSWER_S / 2)
            finally:
                await client.stop(0)

    assert asyncio.run(open_and_drop()) is False
