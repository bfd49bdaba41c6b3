"""Carry core messages between daemons by gRPC.

Messages travel as msgpack, as the types of core give it; gRPC carries the
bytes as they are.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import grpc
import msgspec

UNARY_TIMEOUT_S = 1.0
# Proxies from the environment must not stand between our own daemons, and
# a peer that restarts must be found again in well under an election time.
# A connection cut without a word is given up by the keepalive: TCP alone
# would go on repeating for minutes after the network is whole again.
CHANNEL_OPTIONS = [
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    ("grpc.keepalive_time_ms", 4000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.http2.max_pings_without_data", 0),
    # Channels opened anew must not be given the silent connection of the
    # one that was dropped for its silence.
    ("grpc.use_local_subchannel_pool", 1),
    # The probes for the bandwidth would be most of what gossip sends.
    ("grpc.http2.bdp_probe", 0),
]
SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1000),
]

_ENCODER = msgspec.msgpack.Encoder()

Handler = Callable[[Any], Awaitable[Any]]


class Method:
    """Name a method and the types that travel over it."""

    __slots__ = ("_decode_reply", "_decode_request", "_name", "_service")

    def __init__(
        self, service: str, name: str, request: Any, reply: Any
    ) -> None:
        self._service = service
        self._name = name
        self._decode_request = msgspec.msgpack.Decoder(request).decode
        self._decode_reply = msgspec.msgpack.Decoder(reply).decode

    @property
    def path(self) -> str:
        """Give the method's full name on the wire."""
        return f"/nutmegchute.{self._service}/{self._name}"

    @property
    def service(self) -> str:
        """Name the gRPC service."""
        return self._service

    @property
    def name(self) -> str:
        """Name the method within its service."""
        return self._name

    def decode_request(self, data: bytes) -> Any:
        """Read a request; msgspec refuses one of another form."""
        return self._decode_request(data)

    def decode_reply(self, data: bytes) -> Any:
        """Read a reply; msgspec refuses one of another form."""
        return self._decode_reply(data)


class Links:
    """Hold the channels of this daemon and serve its methods."""

    __slots__ = ("_calls", "_channels", "_closing", "_server", "_started")

    def __init__(self) -> None:
        self._channels: dict[str, Any] = {}
        self._calls: dict[tuple[str, str], Any] = {}
        # The loop itself holds tasks weakly only.
        self._closing: set[asyncio.Task[None]] = set()
        self._started = False
        self._server = grpc.aio.server(
            options=[*SERVER_OPTIONS, *CHANNEL_OPTIONS]
        )

    def serve(self, method: Method, handler: Handler) -> None:
        """Answer a method by a coroutine on the loop."""

        async def answer(data: bytes, context: Any) -> bytes:
            try:
                request = method.decode_request(data)
            except msgspec.DecodeError as error:
                code = grpc.StatusCode.INVALID_ARGUMENT
                await context.abort(code, str(error))
                raise
            reply = await handler(request)
            return _ENCODER.encode(reply)

        rpc = grpc.unary_unary_rpc_method_handler(answer)
        generic = grpc.method_handlers_generic_handler(
            f"nutmegchute.{method.service}", {method.name: rpc}
        )
        self._server.add_generic_rpc_handlers((generic,))

    async def start(self, address: str) -> None:
        """Listen; RuntimeError says the address is in use."""
        self._server.add_insecure_port(address)
        await self._server.start()
        self._started = True

    async def send_request(
        self,
        address: str,
        method: Method,
        request: Any,
        timeout_s: float = UNARY_TIMEOUT_S,
    ) -> Any | None:
        """Ask another daemon; None says that no answer came in time."""
        call = self._calls.get((address, method.path))
        if call is None:
            call = self._open(address, method)
        data = _ENCODER.encode(request)
        try:
            reply = await call(data, timeout=timeout_s)
            return method.decode_reply(reply)
        except (grpc.aio.AioRpcError, msgspec.DecodeError):
            # A reply of another form, from another version, is no answer
            # either; raised, it would end the caller's loop for good.
            return None
        except asyncio.CancelledError:
            if _is_cancelled():
                raise
            # The channel was dropped by another exchange with that daemon.
            # Raised, it would end a loop that asks again and again: after a
            # cut two replicas never told one another anything any more, and
            # neither could acknowledge an endpoint's leaving.
            return None

    async def open(self, address: str, timeout_s: float) -> bool:
        """Connect to a daemon; tell whether it took the connection."""
        channel = self._channel(address)
        try:
            await asyncio.wait_for(channel.channel_ready(), timeout_s)
        except (TimeoutError, grpc.aio.UsageError):
            return False
        except asyncio.CancelledError:
            if _is_cancelled():
                raise
            # Dropped meanwhile, as above.
            return False
        return True

    def drop(self, address: str) -> None:
        """Close the connection to a daemon that does not answer.

        A partition that has healed leaves connections on which TCP tries
        again only after seconds; a new one is through at once.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        for key in [key for key in self._calls if key[0] == address]:
            del self._calls[key]
        task = asyncio.ensure_future(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _open(self, address: str, method: Method) -> Any:
        call = self._channel(address).unary_unary(method.path)
        self._calls[address, method.path] = call
        return call

    def _channel(self, address: str) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            )
            self._channels[address] = channel
        return channel

    async def stop(self, grace_s: float) -> None:
        """Stop serving and close every channel."""
        if not self._started:
            # gRPC stops only what was started; a server left as it is
            # prints an error of its own when the interpreter ends.
            await self._server.start()
        await self._server.stop(grace_s)
        for channel in self._channels.values():
            await channel.close()


def _is_cancelled() -> bool:
    """Tell whether the present task itself was cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
