"""Giving shards up when this instance alone is out of its peers' reach."""

from asyncio import sleep
from time import monotonic

from plantaincart_core.membership import PeerBook
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
SILENT_HEARTBEATS = 2.0
OBSERVATION_S = 0.5


class IsolationDetector:
    """
    Find out whether peers go on without this instance, and let them.

    Parameters
    ----------
    leadership : Leadership
        Shards that are given up.
    handovers : Handovers
        Gives them up.
    mesh : Mesh
        Lists the peers.
    peers : PeerBook
        When each was heard.
    table : Table
        Shows whether the peers renew their leases.
    settings : MeshSettings
        Interval of the heartbeats.

    Notes
    -----
    A leader that its peers can't reach renews its lease and keeps its shards, while
    requests that arrive elsewhere can't get to it. When no peer is heard, the lease
    rows are read: if another instance that hears its own peers renews its lease,
    this one relinquishes its shards and claims none. Where all instances are parted
    from each other, each says so in its lease row, and all keep what they lead.
    """

    def __init__(
        self,
        leadership: Leadership,
        handovers: Handovers,
        mesh: Mesh,
        peers: PeerBook,
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
        """Watch until cancelled."""
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
        known = [self._peers.find(name) for name in self._mesh.list_peers()]
        heard = [peer.last_heard for peer in known if peer is not None]
        return bool(heard) and now - max(heard) > self._silent_s

    async def _compare_leases(self) -> None:
        """Compare the lease rows of the others with those at the first look."""
        try:
            rows = await self._table.scan(lease_key(""))
        except (PlatformUnavailableError, PlatformRefusedError):
            return
        own = lease_key(self._leadership.name)
        others = {key: row for key, row in rows.items() if key != own}
        now = monotonic()
        if not self._first_versions:
            self._first_versions = {key: row.version for key, row in others.items()}
            self._compared_since = now
            return
        isolated = any(
            self._is_renewing_among_peers(key, row) for key, row in others.items()
        )
        if (
            now - self._compared_since < OBSERVATION_S
            or isolated == self._leadership.isolated
        ):
            return
        self._leadership.isolated = isolated
        write_event("isolated" if isolated else "peers_gone")

    def _is_renewing_among_peers(self, key: str, row: Row) -> bool:
        if row.version == self._first_versions.get(key):
            return False
        try:
            lease = decode_json(row.value, InstanceLease)
        except MalformedMessageError:
            return False
        return not lease.lost and not lease.isolated
