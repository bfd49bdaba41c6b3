"""Run the control role: agreement, endpoints, operators, callers."""

import asyncio
from typing import Any

from nutmegchute_core.machines import StateMachine
from nutmegchute_core.replicas import LEADER

from .agreements import Agreement
from .applications import close_pages
from .applications import open_pages
from .applications import start_pages
from .daemons import Daemon
from .descriptions import describe_idle
from .descriptions import describe_member
from .descriptions import describe_state
from .endpoint_files import EndpointFile
from .endpoint_files import SAVE_PERIOD_S
from .errors import StartError
from .errors import StorageError
from .evacuations import EvacuationServer
from .operators import ControlPages
from .peers import PeerExchange
from .quarantine_servers import QuarantineServer
from .registrars import EXPIRE_S
from .registrars import Registrar
from .servers import HttpServer
from .servers import LoopRunner
from .settings import Settings

MAINTAIN_PERIOD_S = 0.5
DIRECTORY_THREADS = 8


class ControlExtension:
    """Let another set of paths and documents reach the control role."""

    def mount(self, control: "ControlDaemon") -> None:
        """Add handlers to the control role's listeners."""


class ControlDaemon(Daemon):
    """Keep the configuration with the other replicas."""

    def __init__(
        self, settings: Settings, extension: ControlExtension | None = None
    ) -> None:
        super().__init__(settings)
        self._extension = extension or ControlExtension()

    def prepare(self) -> None:
        """Open the disk and mount the pages."""
        settings = self._settings
        try:
            self._agreement = Agreement(
                settings, self._links, self.spawn, self._changed
            )
        except StorageError as error:
            raise StartError(f"data_folder: {error}") from error
        self._evacuations = EvacuationServer(self._agreement)
        self._quarantine = QuarantineServer(self._agreement, self._links)
        self.registrar = Registrar(
            settings.grpc_address,
            self._agreement.in_contact,
            lambda: self._agreement.node,
        )
        self._peers = PeerExchange(self._links, self.registrar)
        self._endpoint_file = EndpointFile(
            self._agreement.storage.disk, self.registrar
        )
        self._endpoint_file.load()
        self._http.mount(open_pages(ControlPages(self, self._runner)))
        self.add_listener(
            "directory_address", settings.directory_address, DIRECTORY_THREADS
        )
        self._extension.mount(self)

    @property
    def http(self) -> HttpServer:
        """Give the listener for operators and endpoints."""
        return self._http

    @property
    def directory(self) -> HttpServer:
        """Give the listener for callers that ask for entries."""
        return self._listeners.get("directory_address", self._http)

    @property
    def settings(self) -> Settings:
        """Give the settings in force."""
        return self._settings

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Give the loop that all state belongs to."""
        return self._loop

    @property
    def runner(self) -> LoopRunner:
        """Give the way to the loop for handlers."""
        return self._runner

    def begin(self) -> None:
        """Meet the other replicas, then start the replica's clock."""
        start_pages()
        self.spawn(self._agreement.start())
        self.every(MAINTAIN_PERIOD_S, self._agreement.maintain)
        self._peers.start()
        self.every(EXPIRE_S, self._expire)
        self.every(SAVE_PERIOD_S, self._endpoint_file.save)

    def reload(self, settings: Settings) -> None:
        """Take the listed replicas from settings that have changed."""
        super().reload(settings)
        self._agreement.reload(settings)

    @property
    def agreement(self) -> Agreement:
        """Give what this replica agrees on with the others."""
        return self._agreement

    @property
    def quarantine(self) -> QuarantineServer:
        """Give what takes reports of requests that crash endpoints."""
        return self._quarantine

    @property
    def evacuations(self) -> EvacuationServer:
        """Give what takes orders to evacuate availability zones."""
        return self._evacuations

    def _changed(self) -> None:
        self.registrar.notify_long_polls()
        self._peers.update_peers()

    def _expire(self) -> None:
        self.registrar.expire()
        self._peers.update_peers()

    async def finish(self) -> None:
        """Hand the lead and the vote over, and turn the entries away."""
        await self._agreement.stop()

    def gauges(self) -> dict[str, float]:
        """Give what tells whether changes are taken and in force."""
        node = self._agreement.node
        if node is None:
            return {"leads": 0.0}
        leads = node.replica.state == LEADER
        found = {
            "leads": float(leads),
            "commit": float(node.replica.commit_index),
            "voters": float(len(node.replica.membership.voters)),
            "quarantined": float(node.machine.quarantine.count),
            "evacuated_zones": float(
                len(node.machine.evacuations.evacuations)
            ),
        }
        if leads:
            index = node.machine.tree.index
            applied = self._agreement.follows.applied.values()
            found["entries_behind"] = sum(one < index for one in applied)
        return found

    def close(self) -> None:
        """Close the pages and the disk."""
        self._peers.stop()
        close_pages()
        self._agreement.close()

    @property
    def machine(self) -> StateMachine:
        """Give the replicated state as applied here."""
        node = self._agreement.node
        return node.machine if node is not None else StateMachine()

    def status(self) -> dict[str, Any]:
        """Describe this replica and the entries that follow it."""
        node = self._agreement.node
        if node is None:
            return describe_idle(self._settings.name, self._agreement.problem)
        index = self.machine.tree.index
        return {
            "name": self._settings.name,
            "state": describe_state(node.replica),
            "leader": self._agreement.leader_name,
            "problem": None,
            "term": node.replica.term,
            "commit": node.replica.commit_index,
            "snapshot": node.replica.log.snapshot.index,
            "index": index,
            "entries": {
                **self._agreement.follows.applied,
                **self.registrar.applied(),
            },
            "enrolled": sorted(self.machine.entries),
            "instances": self.registrar.instance_count,
            "in_force": self._in_force(index),
        }

    def replicas(self) -> dict[str, Any]:
        """Describe the group's members and who asks to be taken in."""
        node = self._agreement.node
        if node is None:
            return {"leader": None, "replicas": [], "waiting": []}
        now = self._loop.time()
        membership = node.replica.membership
        rows = []
        for member in membership.members:
            rows.append(describe_member(node.replica, member, now))
        return {
            "leader": self._agreement.leader_name,
            "replicas": rows,
            "waiting": list(self._agreement.pending_joins().values()),
        }

    def leader_address(self) -> str | None:
        """Give the address where operators reach the leader."""
        leader = self._agreement.leader
        return leader.http_address if leader is not None else None

    def _in_force(self, index: int) -> bool:
        node = self._agreement.node
        if node is None or self.registrar.has_entry_behind(index):
            return False
        return self._agreement.follows.in_force(index, node)
