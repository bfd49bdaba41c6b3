"""Stand-in for the platform's endpoints, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import itertools
import json
import random
import threading
import time

from deployment import http

HEARTBEAT_S = 1.5
_IDS = itertools.count(1)


class Exchange:
    """Hold one request that an endpoint received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = headers.get("request-id", "")


class Endpoint:
    """Run requests in a few slots; queue a few more, reject the others.

    Subclasses override ``after_answer`` and ``before_answer`` to inject a
    disruption; without them it is a sound endpoint.
    """

    def __init__(
        self,
        farm,
        service,
        ip,
        zone,
        capacity=3,
        queue=2,
        work_ms=(20.0, 40.0),
        tells_load=True,
        idle_s=10.0,
        seed=1,
    ):
        self.farm = farm
        self.instance = f"i-{next(_IDS):08x}"
        self.service = service
        self.ip = ip
        self.zone = zone
        self.capacity = capacity
        self.queue = queue
        self.work_ms = work_ms
        self.tells_load = tells_load
        self.idle_s = idle_s
        self.random = random.Random(seed)
        self.running = 0
        self.waiting = 0
        self.state = "ready"
        self.sequence = 0
        self.answers = 0
        self.control = 0
        self.address = ""
        self.slots = asyncio.Semaphore(capacity)
        self.server = None
        self.writers = set()
        self.heartbeats = True
        self.heartbeat_address = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.ip, port)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    async def close(self):
        """End like a process: stop listening and close all connections."""
        self.heartbeats = False
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def load(self):
        return f"{self.running},{self.waiting},{self.capacity},100"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(6, 1, 1)
        state = {"served": 0}
        try:
            while True:
                try:
                    request = await asyncio.wait_for(
                        self._read(reader), self.idle_s
                    )
                except asyncio.TimeoutError:
                    break
                if request is None:
                    break
                await self._handle(request, reader, writer, state)
                if state.get("close"):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _read(self, reader):
        line = await reader.readline()
        if not line:
            return None
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = await reader.readline()
            if line in (b"\r\n", b"\n", b""):
                break
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                if not size:
                    await reader.readline()
                    break
                parts.append(await reader.readexactly(size))
                await reader.readline()
            body = b"".join(parts)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        return Exchange(method, target, headers, body)

    def head(self, status, request, length, **headers):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {length}"]
        if request.request_id:
            lines.append(f"Request-Id: {request.request_id}")
        lines.append(f"Instance-Id: {self.instance}")
        if self.tells_load:
            lines.append(f"Instance-Load: {self.load()}")
        lines.append(f"Keep-Alive: timeout={int(self.idle_s)}")
        for name, value in headers.items():
            lines.append(f"{name.replace('_', '-')}: {value}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def _handle(self, request, reader, writer, state):
        if request.target == "/healthz":
            status = 200 if self.state == "ready" else 503
            await self._write(writer, self.head(status, request, 0))
            return
        await self.before_answer(request, writer, state)
        target = request.headers.get("target-instance")
        if target not in (None, self.instance):
            await self.reject(request, writer, state, 421)
            return
        if not request.request_id:
            await self.reject(request, writer, state, 400)
            return
        if self.should_reject(request) or (
            self.slots.locked() and self.waiting >= self.queue
        ):
            await self.reject(request, writer, state, 503)
            return
        deadline_ms = float(request.headers.get("deadline-ms", "60000"))
        until = time.monotonic() + deadline_ms / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(
                self.slots.acquire(), max(0.001, until - time.monotonic())
            )
        except asyncio.TimeoutError:
            self.waiting -= 1
            await self.reject(request, writer, state, 503)
            return
        self.waiting -= 1
        self.running += 1
        try:
            self.farm.record_run(self, request)
            await asyncio.sleep(self.random.uniform(*self.work_ms) / 1000)
        finally:
            self.running -= 1
            self.slots.release()
        body = (
            f"{self.instance} {request.request_id} {request.target}".encode()
        )
        head = self.head(
            200, request, len(body), Server_Signature=f"s.{self.instance}"
        )
        await self.answer(request, writer, state, head + body, 200)

    def should_reject(self, request):
        return False

    async def reject(self, request, writer, state, status):
        self.farm.record_reject(self, request, status)
        head = self.head(status, request, 0, Not_Executed="1")
        await self.answer(request, writer, state, head, status)

    async def answer(self, request, writer, state, data, status):
        self.answers += 1
        state["served"] += 1
        await self._write(writer, data)
        await self.after_answer(request, writer, state, data, status)

    async def _write(self, writer, data):
        writer.write(data)
        await writer.drain()

    async def before_answer(self, request, writer, state):
        """Do nothing: a sound endpoint."""

    async def after_answer(self, request, writer, state, data, status):
        """Do nothing: a sound endpoint."""


class Farm:
    """Run endpoints on a thread of their own and send their heartbeats."""

    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.lock = threading.Lock()
        # By request id: the endpoints that ran it, in order.
        self.ran = {}
        self.rejected = {}
        self.endpoints = []
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._stop = threading.Event()
        self._beats = []

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(
            30
        )

    def add(self, endpoint, port=0):
        self.run(endpoint.open(port))
        self.endpoints.append(endpoint)
        self.record.write(
            f"endpoint {endpoint.instance} of {endpoint.service} at "
            f"{endpoint.address}"
        )
        thread = threading.Thread(
            target=self._beat, args=(endpoint,), daemon=True
        )
        self._beats.append(thread)
        thread.start()
        return endpoint

    def record_run(self, endpoint, request):
        with self.lock:
            runs = self.ran.setdefault(request.request_id, [])
            runs.append((endpoint.instance, time.monotonic()))
        self.record.write(
            f"run {request.request_id} {request.method} {request.target} "
            f"at {endpoint.instance}"
        )

    def record_reject(self, endpoint, request, status):
        with self.lock:
            self.rejected.setdefault(request.request_id, []).append(
                (endpoint.instance, status)
            )
        self.record.write(
            f"reject {request.request_id} with {status} at {endpoint.instance}"
        )

    def heartbeat(self, endpoint, timeout=1.0):
        """Send a heartbeat; return whether it was acknowledged."""
        endpoint.sequence += 1
        body = {
            "service": endpoint.service,
            "address": endpoint.address,
            "zone": endpoint.zone,
            "version": "v1",
            "capacity": endpoint.capacity,
            "state": endpoint.state,
            "warmupLeftMs": 0,
            "sequence": endpoint.sequence,
        }
        controls = len(self.deployment.controls)
        for turn in range(controls):
            address = endpoint.heartbeat_address
            if address is None:
                number = (endpoint.control + turn) % controls
                address = self.deployment.control(number)
            found = http(
                "POST",
                address,
                f"/Instances.Heartbeat/{endpoint.instance}",
                body,
                timeout=timeout,
            )
            if found.status == 200:
                named = None
                with contextlib.suppress(ValueError):
                    named = json.loads(found.body).get("heartbeatAddress")
                endpoint.heartbeat_address = named or address
                return True
            endpoint.heartbeat_address = None
        return False

    def _beat(self, endpoint):
        while endpoint.heartbeats and not self._stop.is_set():
            self.heartbeat(endpoint)
            self._stop.wait(HEARTBEAT_S)

    async def _cancel_all(self):
        self.loop.set_exception_handler(lambda loop, context: None)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def stop(self):
        self._stop.set()
        for endpoint in self.endpoints:
            with contextlib.suppress(Exception):
                self.run(endpoint.close())
        with contextlib.suppress(Exception):
            self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)
