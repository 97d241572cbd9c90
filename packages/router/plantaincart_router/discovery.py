"""Adoption of configurations and discovery of peers."""

from asyncio import sleep
from collections.abc import Callable
from time import monotonic

from plantaincart_core.configuration import CONFIGURATION_ROW, ConfigurationTracker
from plantaincart_core.membership import PeerRegistry
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.document import check_values, read_definition
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.configuration import Configuration
from plantaincart_schema.generated.mesh import (
    ConfigurationPush,
    ConfigurationRequest,
)
from plantaincart_schema.generated.platform import InstanceState
from plantaincart_schema.generated.settings import PlatformSettings

from plantaincart_router.exception import (
    MeshTimeoutError,
    PeerLostError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from plantaincart_router.log import write_event
from plantaincart_router.mesh import Mesh
from plantaincart_router.platform.instances import InstanceDirectory
from plantaincart_router.watcher import TableView

__all__ = ["ConfigurationFollower", "PeerDiscovery"]

PULL_INTERVAL_S = 0.1
PULL_TIMEOUT_S = 0.5
MAX_REASONS = 3


class ConfigurationFollower:
    """
    Adopt the highest configuration version that the table or a peer has.

    Parameters
    ----------
    configuration_book : ConfigurationTracker
        Holds the configuration in force.
    mesh : Mesh
        Connections to the peers.
    peers : PeerRegistry
        Configuration versions of the peers, from their heartbeats.
    on_change : callable
        Called after a new version has been adopted.

    Notes
    -----
    Instances send only configurations that they have adopted, so every version
    originates from the table. Fetching from peers lets a restarted instance get the
    configuration during an outage of the table.
    """

    def __init__(
        self,
        configuration_book: ConfigurationTracker,
        mesh: Mesh,
        peers: PeerRegistry,
        on_change: Callable[[], None],
    ) -> None:
        self._configuration = configuration_book
        self._mesh = mesh
        self._peers = peers
        self._on_change = on_change
        self._refused = b""
        mesh.register_handler(ConfigurationRequest, self._answer_request)

    def handle_view(self, view: TableView) -> None:
        """Adopt the version in the table if it is higher."""
        row = view.rows.get(CONFIGURATION_ROW)
        if row is not None:
            self._adopt(row.value, "table")

    async def run(self) -> None:
        """Fetch higher versions from peers until cancelled."""
        while True:
            await sleep(PULL_INTERVAL_S)
            now = monotonic()
            version = self._configuration.current.version
            newer_peers = [
                peer
                for peer in self._peers.list_live(now)
                if peer.configuration_version > version
            ]
            if newer_peers:
                newest = max(newer_peers, key=lambda peer: peer.configuration_version)
                await self._pull(newest.name, version)

    async def _pull(self, peer: str, version: int) -> None:
        request = ConfigurationRequest(above=version)
        try:
            push = await self._mesh.request(
                peer, request, ConfigurationPush, PULL_TIMEOUT_S
            )
        except (PeerLostError, MeshTimeoutError, MalformedMessageError):
            return
        if push.version > version:
            self._adopt(push.configuration, peer)

    async def _answer_request(
        self, sender: str, request: ConfigurationRequest
    ) -> ConfigurationPush:
        current = self._configuration.current
        newer = current.version > request.above
        return ConfigurationPush(
            version=current.version,
            configuration=encode_json(current) if newer else b"",
        )

    def _adopt(self, encoded: bytes, source: str) -> None:
        if encoded == self._refused:
            return
        try:
            configuration = decode_json(encoded, Configuration)
            if configuration.version > self._configuration.current.version:
                _check_bounds(encoded)
        except MalformedMessageError as error:
            self._refused = encoded
            write_event("configuration_malformed", source=source, reason=str(error))
            return
        if self._configuration.adopt_if_newer(configuration):
            write_event(
                "configuration_adopted", version=configuration.version, source=source
            )
            self._on_change()


def _check_bounds(encoded: bytes) -> None:
    """Check the bounds in the schema, which decoding to data classes doesn't check."""
    values = decode_json(encoded, dict)
    errors = check_values(values, read_definition("configuration"), CONFIGURATION_ROW)
    if errors:
        raise MalformedMessageError("; ".join(map(str, errors[:MAX_REASONS])))


class PeerDiscovery:
    """
    Connect to the instances that the platform lists.

    Parameters
    ----------
    directory : InstanceDirectory
        Client of the platform's list, which may be stale.
    mesh : Mesh
        Connects to the peers.
    peers : PeerRegistry
        Peers with the time of their last heartbeat.
    settings : PlatformSettings
        Interval of the reads.

    Notes
    -----
    Since the list may be stale, a peer that it no longer names is removed only once
    the peer is silent.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        mesh: Mesh,
        peers: PeerRegistry,
        settings: PlatformSettings,
    ) -> None:
        self._directory = directory
        self._mesh = mesh
        self._peers = peers
        self._settings = settings

    async def run(self) -> None:
        """Read the list at an interval until cancelled."""
        while True:
            await self._update_peers()
            await sleep(self._settings.instances_poll_s)

    async def _update_peers(self) -> None:
        try:
            entries = await self._directory.list_instances()
        except (PlatformUnavailableError, PlatformRefusedError):
            return
        listed = {entry.name for entry in entries}
        for entry in entries:
            if entry.state is InstanceState.live:
                self._mesh.add_peer(entry.name, entry.mesh_host, entry.mesh_port)
        now = monotonic()
        for name in self._mesh.list_peers():
            if name not in listed and not self._peers.is_live(name, now):
                self._mesh.remove_peer(name)
                self._peers.remove(name)
