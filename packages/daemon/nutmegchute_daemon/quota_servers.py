"""Grant permits for calls of organisations to entries, on a replica."""

from nutmegchute_core.nodes import Node
from nutmegchute_core.organisations import list_organisations
from nutmegchute_core.quota_allocators import QuotaAllocator
from nutmegchute_core.quotas import QuotaReply
from nutmegchute_core.quotas import QuotaRequest
from nutmegchute_core.quotas import QuotaTerms

from .clocks import boot_time
from .clocks import STARTED_AT
from .consensus import Consensus
from .events import Event
from .events import log
from .links import Links
from .methods import ASK
from .metrics import Metrics

# Well below the gap that the allocator takes for a pause of the process.
OBSERVE_S = 0.1
REPORT_S = 5.0
# Organisations with gauges of their own. All would be thousands of time
# series in a deployment with 1,000 organisations.
MAX_GAUGES = 20


class QuotaServer:
    """Answer entries' requests for permits from this replica's part.

    The parts follow the tree that this replica has applied and the members
    of its group. Not thread-safe: use it on the event loop only.
    """

    __slots__ = (
        "_allocator",
        "_applied",
        "_consensus",
        "_granting",
        "_metrics",
        "_reported",
    )

    def __init__(
        self,
        consensus: Consensus,
        links: Links,
        metrics: Metrics,
        terms: QuotaTerms,
    ) -> None:
        self._consensus = consensus
        self._metrics = metrics
        self._allocator = QuotaAllocator(terms, STARTED_AT)
        # The node, tree index and members that the allocator has applied.
        self._applied: tuple[Node, int, int] | None = None
        self._granting = False
        self._reported: set[str] = set()
        links.serve(ASK, self._on_ask)

    def set_terms(self, terms: QuotaTerms) -> None:
        """Apply the tolerances of changed settings."""
        self._allocator.set_terms(terms, boot_time())

    def observe(self) -> None:
        """Pass contact, members and tree on; call every OBSERVE_S."""
        now = boot_time()
        node = self._consensus.node
        if node is None:
            self._allocator.observe(False, None, False, now)
        else:
            self._observe_node(node, now)
        self._log_granting(self._allocator.may_grant(now))

    def report(self) -> None:
        """Set the gauges of the organisations with the largest demand."""
        present = set()
        rows = self._allocator.largest(MAX_GAUGES, boot_time())
        for organisation, asked, granted in rows:
            present.add(organisation)
            self._metrics.gauge(f"demand.{organisation}", round(asked, 2))
            self._metrics.gauge(f"granted.{organisation}", round(granted, 2))
        for organisation in self._reported - present:
            self._metrics.remove_gauge(f"demand.{organisation}")
            self._metrics.remove_gauge(f"granted.{organisation}")
        self._reported = present

    def _observe_node(self, node: Node, now: float) -> None:
        replica = node.replica
        membership = replica.membership
        own = membership.find(replica.identity)
        self._allocator.observe(
            self._consensus.in_contact(),
            own is not None,
            own is not None and not own.voter,
            now,
        )
        members = len(membership.members)
        applied = (node, node.machine.tree.index, members)
        if applied == self._applied:
            return
        self._applied = applied
        documents = node.machine.tree.documents
        self._allocator.configure(list_organisations(documents), members, now)

    def _log_granting(self, granting: bool) -> None:
        if granting == self._granting:
            return
        self._granting = granting
        if granting:
            log(Event.GRANTS_BEGUN)
        else:
            log(Event.GRANTS_ENDED, "warning")

    async def _on_ask(self, request: QuotaRequest) -> QuotaReply:
        self.observe()
        reply = self._allocator.grant(request, boot_time())
        for ask in request.asks:
            self._metrics.count("permits_asked", ask.waiting + ask.expected)
        for grant in reply.grants:
            self._metrics.count("permits_granted", grant.granted)
        return reply
