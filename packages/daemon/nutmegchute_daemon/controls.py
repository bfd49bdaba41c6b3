"""Run the control role: consensus, discovery and operators' pages."""

import asyncio
from typing import Any

from nutmegchute_core.machines import StateMachine
from nutmegchute_core.replicas import LEADER

from .applications import close_pages
from .applications import open_pages
from .applications import start_pages
from .consensus import Consensus
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
from .quota_servers import OBSERVE_S
from .quota_servers import QuotaServer
from .quota_servers import REPORT_S
from .registrars import EXPIRE_S
from .registrars import Registrar
from .servers import HttpServer
from .servers import LoopRunner
from .settings import Settings
from .transfers import TreeOffers

MAINTAIN_PERIOD_S = 0.5
DIRECTORY_THREADS = 8


class ControlExtension:
    """Extend the control role by further paths and document formats."""

    def mount(self, control: "ControlDaemon") -> None:
        """Add handlers to the control role's listeners."""


class ControlDaemon(Daemon):
    """Run one control replica."""

    def __init__(
        self, settings: Settings, extension: ControlExtension | None = None
    ) -> None:
        super().__init__(settings)
        self._extension = extension or ControlExtension()

    def prepare(self) -> None:
        """Open the data folder and mount the pages."""
        settings = self._settings
        offers = TreeOffers()
        try:
            self._consensus = Consensus(
                settings, self._links, self.spawn, self._on_change, offers
            )
        except StorageError as error:
            raise StartError(f"data_folder: {error}") from error
        self._evacuations = EvacuationServer(self._consensus)
        self._quarantine = QuarantineServer(self._consensus, self._links)
        self._quotas = QuotaServer(
            self._consensus, self._links, self._metrics, settings.quota_terms
        )
        self.registrar = Registrar(
            settings.grpc_address,
            self._consensus.is_current,
            lambda: self._consensus.node,
            offers,
        )
        self._peers = PeerExchange(self._links, self.registrar)
        self._endpoint_file = EndpointFile(
            self._consensus.storage.disk, self.registrar
        )
        self._endpoint_file.load()
        self._http.mount(open_pages(ControlPages(self, self._runner)))
        self.add_listener(
            "directory_address", settings.directory_address, DIRECTORY_THREADS
        )
        self._extension.mount(self)

    @property
    def http(self) -> HttpServer:
        """Return the listener for operators and endpoints."""
        return self._http

    @property
    def directory(self) -> HttpServer:
        """Return the listener for callers that look up entries."""
        return self._listeners.get("directory_address", self._http)

    @property
    def settings(self) -> Settings:
        """Return the settings in force."""
        return self._settings

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """Return the event loop that owns all state."""
        return self._loop

    @property
    def runner(self) -> LoopRunner:
        """Return the runner of functions on the event loop."""
        return self._runner

    def start_tasks(self) -> None:
        """Start the replica, the exchange with peers and periodic work."""
        start_pages()
        self.spawn(self._consensus.start())
        self.run_every(MAINTAIN_PERIOD_S, self._consensus.maintain)
        self._peers.start()
        self.run_every(EXPIRE_S, self._expire)
        self.run_every(OBSERVE_S, self._quotas.observe)
        self.run_every(REPORT_S, self._quotas.report)
        self.run_every(SAVE_PERIOD_S, self._endpoint_file.save)

    def reload(self, settings: Settings) -> None:
        """Apply changed settings, such as the listed replicas."""
        super().reload(settings)
        self._consensus.reload(settings)
        self._quotas.set_terms(settings.quota_terms)

    @property
    def consensus(self) -> Consensus:
        """Return the replica that takes part in consensus."""
        return self._consensus

    @property
    def quarantine(self) -> QuarantineServer:
        """Return the server of reports of requests that crash endpoints."""
        return self._quarantine

    @property
    def evacuations(self) -> EvacuationServer:
        """Return the server of orders to evacuate availability zones."""
        return self._evacuations

    def _on_change(self) -> None:
        self.registrar.notify_long_polls()
        self._peers.update_peers()

    def _expire(self) -> None:
        self.registrar.expire()
        self._peers.update_peers()

    async def finish(self) -> None:
        """Transfer leadership, give up the vote and redirect the entries."""
        await self._consensus.stop()

    def gauges(self) -> dict[str, float]:
        """Return the gauges of leadership, commits and entries behind."""
        node = self._consensus.node
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
            applied = self._consensus.follow_server.applied.values()
            found["entries_behind"] = sum(one < index for one in applied)
        return found

    def close(self) -> None:
        """Stop the peer exchange; close the pages and the data folder."""
        self._peers.stop()
        close_pages()
        self._consensus.close()

    @property
    def machine(self) -> StateMachine:
        """Return the replicated state as applied by this replica."""
        node = self._consensus.node
        return node.machine if node is not None else StateMachine()

    def status(self) -> dict[str, Any]:
        """Describe this replica and the entries that follow it."""
        node = self._consensus.node
        if node is None:
            return describe_idle(self._settings.name, self._consensus.problem)
        index = self.machine.tree.index
        return {
            "name": self._settings.name,
            "state": describe_state(node.replica),
            "leader": self._consensus.leader_name,
            "problem": None,
            "term": node.replica.term,
            "commit": node.replica.commit_index,
            "snapshot": node.replica.log.snapshot.index,
            "index": index,
            "entries": {
                **self._consensus.follow_server.applied,
                **self.registrar.applied(),
            },
            "enrolled": sorted(self.machine.entries),
            "instances": self.registrar.instance_count,
            "in_force": self._in_force(index),
        }

    def replicas(self) -> dict[str, Any]:
        """Describe the group's members and the replicas that wait to join."""
        node = self._consensus.node
        if node is None:
            return {"leader": None, "replicas": [], "waiting": []}
        now = self._loop.time()
        membership = node.replica.membership
        rows = []
        for member in membership.members:
            rows.append(describe_member(node.replica, member, now))
        return {
            "leader": self._consensus.leader_name,
            "replicas": rows,
            "waiting": list(self._consensus.pending_joins().values()),
        }

    def leader_address(self) -> str | None:
        """Return the leader's address for operators, None if unknown."""
        leader = self._consensus.leader
        return leader.http_address if leader is not None else None

    def _in_force(self, index: int) -> bool:
        node = self._consensus.node
        if node is None or self.registrar.has_entry_behind(index):
            return False
        return self._consensus.follow_server.in_force(index, node)
