"""The exchange with other entries, carried out on the loop."""

from collections.abc import Callable, Iterable

from foxtailhatch.config import apply_peer_update, encode_peer_update
from foxtailhatch.core import Address, EventKind
from foxtailhatch.daemon.blackboard import Blackboard
from foxtailhatch.daemon.configuration_loop import ConfigurationLoop
from foxtailhatch.daemon.endpoint_care import EndpointCare
from foxtailhatch.daemon.usage import Usage
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
    """Carry out what gossip decides, and pass the configuration on."""

    def __init__(
        self,
        board: Blackboard,
        care: EndpointCare,
        configuration: ConfigurationLoop,
        gossip: Gossip,
        usage: Usage,
        node: PeerNode,
        now: Callable[[], float],
    ) -> None:
        """Join the parts; nothing is sent yet."""
        self.node = node
        self._board = board
        self._care = care
        self._configuration = configuration
        self._gossip = gossip
        self._usage = usage
        self._now = now

    async def step(self) -> None:
        """Send what is due, and spread which endpoints leave."""
        now = self._now()
        while self._board.leaves_seen:
            endpoint = self._board.leaves_seen.pop()
            self._gossip.announce_endpoint_leaving(endpoint, now)
        self._gossip.set_listed_addresses(self._board.listed_peers)
        self._carry_out(self._gossip.tick(now))
        report = self._usage.due(now)
        if report is not None:
            for address in self._usage.addressees():
                self.node.send(address, report)

    def take(self, peer: PeerIdentity, message: Message) -> None:
        """Take a message from a proven peer."""
        match message:
            case Digest():
                self._carry_out(self._gossip.receive(message, self._now()))
            case ConfigurationRequest(version):
                self._push(peer.address, version)
            case ConfigurationPush():
                self._adopt(message)
            case UsageReport():
                self._usage.take(message, self._now())

    def unreachable(self, address: Address) -> None:
        """Learn that no connection to a peer could be opened."""
        actions = self._gossip.handle_unreachable(address, self._now())
        self._carry_out(actions)

    def _carry_out(self, actions: Iterable[GossipAction]) -> None:
        for action in actions:
            match action:
                case SendDigest(address, digest, reconnect):
                    self.node.send(address, digest, reconnect=reconnect)
                case RequestConfiguration(address, version):
                    self.node.send(address, ConfigurationRequest(version))
                case EndpointLeaving(endpoint, observed_at):
                    self._leaving(endpoint, observed_at)
                case EntryChange(entry, liveness):
                    self._board.record(
                        EventKind.MEMBER_CHANGED,
                        entry,
                        liveness.value,
                    )

    def _leaving(self, endpoint: str, observed_at: float) -> None:
        changes = self._board.endpoints.record_leaving(
            endpoint,
            self._now(),
            observed_at=observed_at,
        )
        self._care.take_changes(changes)

    def _push(self, address: Address, version: int) -> None:
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
        self._configuration.take(outcomes)
