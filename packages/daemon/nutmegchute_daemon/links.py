"""Exchange core messages between daemons by gRPC.

Messages are encoded as msgpack by their core types; gRPC transfers the bytes
unchanged.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import grpc
import msgspec

from .events import Event
from .events import log

UNARY_TIMEOUT_S = 1.0
# Replies of this size and above are logged: on a link of 3 Mbit/s they take a
# tenth of a second and more.
LONG_REPLY_BYTES = 32 * 1024
INVALID_REPLY = "invalid reply"
NO_CONNECTION = "no connection"
DROPPED = "connection dropped"
# Proxies from the environment must not apply between the daemons, and a peer
# that restarts must be reconnected in well under an election timeout.
# Keepalive closes a connection that a partition broke silently: TCP alone
# would retransmit for minutes after the network has recovered.
CHANNEL_OPTIONS = [
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    ("grpc.keepalive_time_ms", 4000),
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.http2.max_pings_without_data", 0),
    # A new channel must not reuse the broken connection of the channel that
    # was dropped because of it.
    ("grpc.use_local_subchannel_pool", 1),
    # Bandwidth probes would be most of the traffic of gossip.
    ("grpc.http2.bdp_probe", 0),
]
SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1000),
]

_ENCODER = msgspec.msgpack.Encoder()

Handler = Callable[[Any], Awaitable[Any]]


class Method:
    """Describe a gRPC method by its name, request type and reply type."""

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
        """Return the full name of the method on the wire."""
        return f"/nutmegchute.{self._service}/{self._name}"

    @property
    def service(self) -> str:
        """Return the name of the gRPC service."""
        return self._service

    @property
    def name(self) -> str:
        """Return the name of the method within its service."""
        return self._name

    def decode_request(self, data: bytes) -> Any:
        """Decode a request; raise msgspec.DecodeError if it is invalid."""
        return self._decode_request(data)

    def decode_reply(self, data: bytes) -> Any:
        """Decode a reply; raise msgspec.DecodeError if it is invalid."""
        return self._decode_reply(data)


class Links:
    """Serve gRPC methods and hold the channels to other daemons."""

    __slots__ = (
        "_calls",
        "_channels",
        "_closing",
        "_failures",
        "_sent_bytes",
        "_server",
        "_started",
    )

    def __init__(self) -> None:
        self._failures: dict[str, str] = {}
        self._sent_bytes: Counter[str] = Counter()
        self._channels: dict[str, Any] = {}
        self._calls: dict[tuple[str, str], Any] = {}
        # The event loop itself holds only weak references to tasks.
        self._closing: set[asyncio.Task[None]] = set()
        self._started = False
        self._server = grpc.aio.server(
            options=[*SERVER_OPTIONS, *CHANNEL_OPTIONS]
        )

    def serve(self, method: Method, handler: Handler) -> None:
        """Register a coroutine function as the handler of a method."""

        async def answer(data: bytes, context: Any) -> bytes:
            try:
                request = method.decode_request(data)
            except msgspec.DecodeError as error:
                code = grpc.StatusCode.INVALID_ARGUMENT
                await context.abort(code, str(error))
                raise
            reply = _ENCODER.encode(await handler(request))
            self._sent_bytes[method.name] += len(reply)
            if len(reply) >= LONG_REPLY_BYTES:
                log(
                    Event.REPLY_LONG,
                    method=method.name,
                    peer=context.peer(),
                    bytes=len(reply),
                )
            return reply

        rpc = grpc.unary_unary_rpc_method_handler(answer)
        generic = grpc.method_handlers_generic_handler(
            f"nutmegchute.{method.service}", {method.name: rpc}
        )
        self._server.add_generic_rpc_handlers((generic,))

    async def start(self, address: str) -> None:
        """Listen on an address; raise RuntimeError if it is in use."""
        self._server.add_insecure_port(address)
        await self._server.start()
        self._started = True

    def failure(self, address: str) -> str:
        """Return why the last failed request to a daemon got no reply."""
        return self._failures.get(address, "")

    def pop_sent_bytes(self) -> Counter[str]:
        """Return the bytes of the replies since the last call, by method."""
        sent_bytes, self._sent_bytes = self._sent_bytes, Counter()
        return sent_bytes

    async def send_request(
        self,
        address: str,
        method: Method,
        request: Any,
        timeout_s: float = UNARY_TIMEOUT_S,
    ) -> Any | None:
        """Send a request; return the reply, or None if none came in time."""
        call = self._calls.get((address, method.path))
        if call is None:
            call = self._create_call(address, method)
        data = _ENCODER.encode(request)
        try:
            reply = await call(data, timeout=timeout_s)
            return method.decode_reply(reply)
        except grpc.aio.AioRpcError as error:
            self._failures[address] = error.code().name.lower()
            return None
        except msgspec.DecodeError:
            # An invalid reply, as from another version, counts as none: the
            # error would end the loop of the calling coroutine for good.
            self._failures[address] = INVALID_REPLY
            return None
        except asyncio.CancelledError:
            if _is_cancelled():
                raise
            # Another exchange with that daemon dropped the channel. Raised,
            # this would end the loop that sends requests: after a partition
            # two replicas would never again exchange their registries, and
            # neither could acknowledge an endpoint's drain.
            self._failures[address] = DROPPED
            return None

    async def open(self, address: str, timeout_s: float) -> bool:
        """Connect to a daemon; return whether it accepted in time."""
        channel = self._channel(address)
        try:
            await asyncio.wait_for(channel.channel_ready(), timeout_s)
        except (TimeoutError, grpc.aio.UsageError):
            self._failures[address] = NO_CONNECTION
            return False
        except asyncio.CancelledError:
            if _is_cancelled():
                raise
            # Another exchange dropped the channel, as in send_request().
            self._failures[address] = DROPPED
            return False
        return True

    def drop(self, address: str) -> None:
        """Close the connection to a daemon that does not reply.

        After a partition has healed, TCP retransmits on old connections only
        after seconds; a new connection works at once.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            return
        for key in [key for key in self._calls if key[0] == address]:
            del self._calls[key]
        task = asyncio.ensure_future(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _create_call(self, address: str, method: Method) -> Any:
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
            # gRPC can stop only a started server; one that is not stopped
            # prints an error when the interpreter exits.
            await self._server.start()
        await self._server.stop(grace_s)
        for channel in self._channels.values():
            await channel.close()


def _is_cancelled() -> bool:
    """Return whether the current task itself was cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
