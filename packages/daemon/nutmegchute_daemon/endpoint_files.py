"""Keep the endpoints known to a control replica over its restart.

This is no agreed state. Endpoints announce themselves to a replica that has
started within two seconds, one after the other. Until then entries that have
started as well would crowd all calls onto the first few.
"""

import asyncio

import msgspec
from nutmegchute_core.members import Announcement

from .disks import Disk
from .events import Event
from .events import log
from .registrars import Registrar

ENDPOINTS_FILE = "endpoints"
NEW_FILE = "endpoints.new"
# How often at most; an older list holds endpoints that have left since.
SAVE_PERIOD_S = 0.5

_DECODER = msgspec.msgpack.Decoder(list[Announcement])


class EndpointFile:
    """Write the endpoints when they have changed, and read them at a start.

    Writing waits for the disk on a thread of its own: one that is slow or
    hangs must not hold the loop.
    """

    __slots__ = ("_disk", "_failed", "_generation", "_registrar", "_writing")

    def __init__(self, disk: Disk, registrar: Registrar) -> None:
        self._disk = disk
        self._registrar = registrar
        self._generation = registrar.generation
        self._writing: asyncio.Future[None] | None = None
        self._failed = False

    def load(self) -> None:
        """Hand the endpoints of before to the registrar."""
        try:
            data = self._disk.read(ENDPOINTS_FILE)
            found = _DECODER.decode(data)
        except FileNotFoundError:
            return
        except (OSError, msgspec.DecodeError) as error:
            log(Event.RECALL_FAILED, "warning", detail=str(error))
            return
        self._registrar.restore_endpoints(found)
        self._generation = self._registrar.generation
        log(Event.RECALLED, endpoints=len(found))

    def save(self) -> None:
        """Write the endpoints, if they have changed and the disk is idle."""
        if self._writing is not None and not self._writing.done():
            return
        if self._generation == self._registrar.generation:
            return
        self._generation = self._registrar.generation
        data = msgspec.msgpack.encode(self._registrar.present())
        self._writing = asyncio.ensure_future(self._write(data))

    async def _write(self, data: bytes) -> None:
        try:
            await asyncio.to_thread(
                self._disk.replace, ENDPOINTS_FILE, NEW_FILE, data
            )
        except OSError as error:
            if not self._failed:
                log(Event.RECALL_FAILED, "warning", detail=str(error))
            self._failed = True
            return
        self._failed = False
