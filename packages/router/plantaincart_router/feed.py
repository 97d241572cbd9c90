"""How an instance hears of configurations and peers."""

from asyncio import sleep
from collections.abc import Callable
from time import monotonic

from plantaincart_core.configuration import CONFIGURATION_ROW, ConfigurationBook
from plantaincart_core.membership import PeerBook
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
    Adopt the highest version of the configuration that is heard of.

    Parameters
    ----------
    book : ConfigurationBook
        Version in force.
    mesh : Mesh
        Reaches peers that have a higher version.
    peers : PeerBook
        Versions of the peers, from their heartbeats.
    on_change : callable
        Called after a new version has been adopted.

    Notes
    -----
    Every version comes from the table in the end, since instances pass on only
    what they have adopted. A peer's version counts as well as the table's, so a
    restarted instance has the configuration during an outage of the table.
    """

    def __init__(
        self,
        book: ConfigurationBook,
        mesh: Mesh,
        peers: PeerBook,
        on_change: Callable[[], None],
    ) -> None:
        self._book = book
        self._mesh = mesh
        self._peers = peers
        self._on_change = on_change
        self._refused = b""
        mesh.handle(ConfigurationRequest, self._answer_request)

    def handle_view(self, view: TableView) -> None:
        """Adopt the version in the table."""
        row = view.rows.get(CONFIGURATION_ROW)
        if row is not None:
            self._adopt(row.value, "table")

    async def run(self) -> None:
        """Fetch higher versions from peers until cancelled."""
        while True:
            await sleep(PULL_INTERVAL_S)
            now = monotonic()
            version = self._book.current.version
            ahead = [
                peer
                for peer in self._peers.list_live(now)
                if peer.configuration_version > version
            ]
            if ahead:
                best = max(ahead, key=lambda peer: peer.configuration_version)
                await self._pull(best.name, version)

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
        current = self._book.current
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
            if configuration.version > self._book.current.version:
                _check_bounds(encoded)
        except MalformedMessageError as error:
            self._refused = encoded
            write_event("configuration_malformed", source=source, reason=str(error))
            return
        if self._book.offer(configuration):
            write_event(
                "configuration_adopted", version=configuration.version, source=source
            )
            self._on_change()


def _check_bounds(encoded: bytes) -> None:
    """Check the bounds of the schema, which the data classes don't carry."""
    values = decode_json(encoded, dict)
    found = check_values(values, read_definition("configuration"), CONFIGURATION_ROW)
    if found:
        raise MalformedMessageError("; ".join(map(str, found[:MAX_REASONS])))


class PeerDiscovery:
    """
    Connect to the instances that the platform lists.

    Parameters
    ----------
    directory : InstanceDirectory
        The platform's list, which lags.
    mesh : Mesh
        Where peers are connected.
    settings : PlatformSettings
        Interval of the reads.

    Notes
    -----
    The list only adds peers. One that it no longer names is dropped once it is
    silent, since a lagging or stale list says nothing against a live peer.
    """

    def __init__(
        self,
        directory: InstanceDirectory,
        mesh: Mesh,
        peers: PeerBook,
        settings: PlatformSettings,
    ) -> None:
        self._directory = directory
        self._mesh = mesh
        self._peers = peers
        self._settings = settings

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            await self._follow_once()
            await sleep(self._settings.instances_poll_s)

    async def _follow_once(self) -> None:
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
                self._peers.forget(name)
