"""Detection of an instance that can't reach its peers while they reach each other."""

from asyncio import sleep
from time import monotonic

from plantaincart_core.membership import PeerRegistry
from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.platform import InstanceLease, Row
from plantaincart_schema.generated.settings import MeshSettings

from plantaincart_router.exception import PlatformRefusedError, PlatformUnavailableError
from plantaincart_router.handover import Handovers
from plantaincart_router.leadership import Leadership
from plantaincart_router.leasekeeper import lease_key
from plantaincart_router.log import write_event
from plantaincart_router.mesh import Mesh
from plantaincart_router.platform.table import Table

__all__ = ["IsolationDetector"]

POLL_S = 0.1
# Heartbeat intervals without a heartbeat after which all peers count as silent.
SILENT_HEARTBEATS = 2.0
# Time from the first read of the lease rows to the decision.
OBSERVATION_S = 0.5


class IsolationDetector:
    """
    Detect that only this instance is cut off, and relinquish its shards.

    Parameters
    ----------
    leadership : Leadership
        Shards that this instance leads.
    handovers : Handovers
        Relinquishes the shards.
    mesh : Mesh
        Lists the peers.
    peers : PeerRegistry
        Peers with the time of their last heartbeat.
    table : Table
        Table with the lease rows of the peers.
    settings : MeshSettings
        Interval of the heartbeats.

    Notes
    -----
    A leader that its peers can't reach may still renew its lease and keep its shards,
    although requests that arrive at other instances can't reach it. When no heartbeat
    arrives here, the lease rows are read: if another instance that receives heartbeats
    renews its lease, this one relinquishes its shards and claims none. If all instances
    are cut off from each other, each marks its lease row as isolated, and all keep
    their shards.
    """

    def __init__(
        self,
        leadership: Leadership,
        handovers: Handovers,
        mesh: Mesh,
        peers: PeerRegistry,
        table: Table,
        settings: MeshSettings,
    ) -> None:
        self._leadership = leadership
        self._handovers = handovers
        self._mesh = mesh
        self._peers = peers
        self._table = table
        self._silent_s = SILENT_HEARTBEATS * settings.heartbeat_s
        self._first_versions: dict[str, int] = {}
        self._compared_since = 0.0

    async def run(self) -> None:
        """Check for isolation at an interval until cancelled."""
        while True:
            await sleep(POLL_S)
            silent = self._is_silent(monotonic())
            self._leadership.keeper.set_isolated(silent)
            if not silent:
                self._leadership.isolated = False
                self._first_versions.clear()
                continue
            await self._compare_leases()
            if self._leadership.isolated:
                await self._handovers.relinquish_led()

    def _is_silent(self, now: float) -> bool:
        peers = [self._peers.find(name) for name in self._mesh.list_peers()]
        heartbeat_times = [peer.last_heartbeat_at for peer in peers if peer is not None]
        return bool(heartbeat_times) and now - max(heartbeat_times) > self._silent_s

    async def _compare_leases(self) -> None:
        """Compare the lease rows of other instances with those of the first read."""
        try:
            rows = await self._table.scan(lease_key(""))
        except (PlatformUnavailableError, PlatformRefusedError):
            return
        own_key = lease_key(self._leadership.name)
        peer_rows = {key: row for key, row in rows.items() if key != own_key}
        now = monotonic()
        if not self._first_versions:
            self._first_versions = {key: row.version for key, row in peer_rows.items()}
            self._compared_since = now
            return
        isolated = any(
            self._is_renewing_among_peers(key, row) for key, row in peer_rows.items()
        )
        if (
            now - self._compared_since < OBSERVATION_S
            or isolated == self._leadership.isolated
        ):
            return
        self._leadership.isolated = isolated
        write_event("isolated" if isolated else "peers_gone")

    def _is_renewing_among_peers(self, key: str, row: Row) -> bool:
        """Return whether an instance renews its lease and receives heartbeats."""
        if row.version == self._first_versions.get(key):
            return False
        try:
            lease = decode_json(row.value, InstanceLease)
        except MalformedMessageError:
            return False
        return not lease.lost and not lease.isolated
