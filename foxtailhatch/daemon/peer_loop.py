"""Gossip, configuration and usage exchange with other entries."""

from collections.abc import Callable, Iterable

from foxtailhatch.config import apply_peer_update, encode_peer_update
from foxtailhatch.core import Address, EventKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.endpoint_monitor import EndpointMonitor
from foxtailhatch.daemon.usage_exchange import UsageExchange
from foxtailhatch.membership import (
    Digest,
    EndpointLeaving,
    EntryChange,
    Gossip,
    GossipAction,
    RequestConfiguration,
    SendDigest,
)
from foxtailhatch.peers import (
    ConfigurationPush,
    ConfigurationRequest,
    Message,
    PeerIdentity,
    PeerNode,
    UsageReport,
)


class PeerLoop:
    """Execute the actions of gossip and forward configuration updates."""

    def __init__(
        self,
        board: Blackboard,
        endpoint_monitor: EndpointMonitor,
        configuration: ConfigurationLoop,
        gossip: Gossip,
        usage_exchange: UsageExchange,
        node: PeerNode,
        now: Callable[[], float],
    ) -> None:
        """Keep the collaborators; ``now`` is the loop's time in seconds."""
        self.node = node
        self._board = board
        self._endpoint_monitor = endpoint_monitor
        self._configuration = configuration
        self._gossip = gossip
        self._usage_exchange = usage_exchange
        self._now = now

    async def step(self) -> None:
        """Announce draining endpoints and send due digests and reports."""
        now = self._now()
        while self._board.leaving_endpoints:
            endpoint = self._board.leaving_endpoints.pop()
            self._gossip.announce_endpoint_leaving(endpoint, now)
        self._gossip.set_listed_addresses(self._board.listed_peers)
        self._execute(self._gossip.tick(now))
        report = self._usage_exchange.take_due_report(now)
        if report is not None:
            for address in self._usage_exchange.recipients():
                self.node.send(address, report)

    def receive(self, peer: PeerIdentity, message: Message) -> None:
        """Handle a message from an authenticated peer."""
        match message:
            case Digest():
                self._execute(self._gossip.receive(message, self._now()))
            case ConfigurationRequest(version):
                self._push_configuration(peer.address, version)
            case ConfigurationPush():
                self._adopt(message)
            case UsageReport():
                self._usage_exchange.receive(message, self._now())

    def handle_unreachable(self, address: Address) -> None:
        """Handle that no connection to a peer could be opened."""
        actions = self._gossip.handle_unreachable(address, self._now())
        self._execute(actions)

    def _execute(self, actions: Iterable[GossipAction]) -> None:
        for action in actions:
            match action:
                case SendDigest(address, digest, reconnect):
                    self.node.send(address, digest, reconnect=reconnect)
                case RequestConfiguration(address, version):
                    self.node.send(address, ConfigurationRequest(version))
                case EndpointLeaving(endpoint, observed_at):
                    self._apply_leaving(endpoint, observed_at)
                case EntryChange(entry, liveness):
                    self._board.record(
                        EventKind.MEMBER_CHANGED,
                        entry,
                        liveness.value,
                    )

    def _apply_leaving(self, endpoint: str, observed_at: float) -> None:
        changes = self._board.endpoints.record_leaving(
            endpoint,
            self._now(),
            observed_at=observed_at,
        )
        self._endpoint_monitor.apply_changes(changes)

    def _push_configuration(self, address: Address, version: int) -> None:
        fold = self._board.fold
        if fold.version <= version:
            return
        push = ConfigurationPush(
            fold.version,
            fold.last_offset,
            encode_peer_update(fold, version),
        )
        self.node.send(address, push)

    def _adopt(self, push: ConfigurationPush) -> None:
        outcomes = apply_peer_update(self._board.fold, push.body)
        self._configuration.apply_outcomes(outcomes)
