"""Save the endpoints known to a control replica across its restart.

This is not replicated state. After a replica starts, endpoints announce
themselves to it one by one within 2 s. Until then, entries that have also
restarted would send all calls to the first few endpoints.
"""

import asyncio

import msgspec
from nutmegchute_core.members import Announcement

from .disks import Disk
from .events import Event
from .events import log
from .registrars import Registrar

ENDPOINTS_FILE = "endpoints"
TEMPORARY_FILE = "endpoints.new"
# Shortest time between saves. The older a file is, the more endpoints it
# lists that have stopped since.
SAVE_PERIOD_S = 0.5

_DECODER = msgspec.msgpack.Decoder(list[Announcement])


class EndpointFile:
    """Save changed endpoints to a file and restore them at a start.

    The file is written on another thread, since a disk that is slow or
    hangs must not block the event loop.
    """

    __slots__ = (
        "_disk",
        "_failed",
        "_generation",
        "_registrar",
        "_write_task",
    )

    def __init__(self, disk: Disk, registrar: Registrar) -> None:
        self._disk = disk
        self._registrar = registrar
        self._generation = registrar.generation
        self._write_task: asyncio.Future[None] | None = None
        self._failed = False

    def load(self) -> None:
        """Restore the saved endpoints in the registrar, if there are any."""
        try:
            data = self._disk.read(ENDPOINTS_FILE)
            found = _DECODER.decode(data)
        except FileNotFoundError:
            return
        except (OSError, msgspec.DecodeError) as error:
            log(Event.ENDPOINT_FILE_FAILED, "warning", detail=str(error))
            return
        self._registrar.restore_endpoints(found)
        self._generation = self._registrar.generation
        log(Event.ENDPOINTS_RESTORED, endpoints=len(found))

    def save(self) -> None:
        """Start a write if endpoints have changed and none is running."""
        if self._write_task is not None and not self._write_task.done():
            return
        if self._generation == self._registrar.generation:
            return
        self._generation = self._registrar.generation
        data = msgspec.msgpack.encode(self._registrar.list_announcements())
        self._write_task = asyncio.ensure_future(self._write(data))

    async def _write(self, data: bytes) -> None:
        try:
            await asyncio.to_thread(
                self._disk.replace, ENDPOINTS_FILE, TEMPORARY_FILE, data
            )
        except OSError as error:
            if not self._failed:
                log(Event.ENDPOINT_FILE_FAILED, "warning", detail=str(error))
            self._failed = True
            return
        self._failed = False
