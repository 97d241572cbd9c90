"""Names, addresses and settings of the processes of a local system."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

from msgspec import convert
from plantaincart_schema.generated.configuration import (
    DataCentre,
    Declarations,
    KeyRule,
    KeySource,
    Service,
    Upstream,
)
from plantaincart_schema.generated.platform import InstanceEntry, InstanceList
from plantaincart_schema.generated.settings import (
    AdminSettings,
    EntrySettings,
    InstanceSettings,
    LogSettings,
    MeshSettings,
    PlatformSettings,
    Settings,
)

from plantaincart_testing.place import Address, InstanceAddresses, UpstreamPlace
from plantaincart_testing.shape import ServiceShape, Shape
from plantaincart_testing.upstream_settings import UpstreamSettings

__all__ = ["Layout"]

_ENTRY_OFFSET = 1000
_ADMIN_OFFSET = 1100
_MESH_OFFSET = 1200
_MESH_PROXY_OFFSET = 1300
_TABLE_PROXY_OFFSET = 1400
_UPSTREAM_OFFSET = 2000
_UPSTREAM_PROXY_OFFSET = 2200
_UPSTREAM_CONTROL_OFFSET = 2400


class Layout:
    """
    Names and addresses of the processes of a local system.

    Parameters
    ----------
    shape : Shape
        Size of the system.
    host : str
        Loopback address of all listeners.
    base_port : int
        Lowest port that the system uses.
    proxied : bool
        Whether instances connect to peers, table and upstreams through proxies.
    """

    def __init__(self, shape: Shape, host: str, base_port: int, proxied: bool) -> None:
        self.shape = shape
        self.host = host
        self.base_port = base_port
        self.proxied = proxied
        self.platform = self._make_address(0)
        self.platform_control = self._make_address(1)
        self.proxy_control = self._make_address(2)
        self.instances = {place.name: place for place in self._list_instances()}
        self.upstreams = {place.name: place for place in self._list_upstreams()}

    def find_upstream_control(self, process: int) -> Address:
        """Return the control address of an upstream process, given its number."""
        return self._make_address(_UPSTREAM_CONTROL_OFFSET + process)

    def list_ports(self) -> list[int]:
        """Return the ports that the system binds, including those of the proxies."""
        ports = [self.platform, self.platform_control, self.proxy_control]
        for place in self.instances.values():
            ports += [place.entry, place.admin, place.mesh]
            ports += [place.mesh_proxy, place.table_proxy]
        for upstream in self.upstreams.values():
            ports += [upstream.address, upstream.proxy]
        return [address.port for address in ports]

    def make_settings(
        self, name: str, folder: Path, overrides: Mapping[str, Mapping[str, Any]]
    ) -> Settings:
        """
        Make the settings of an instance.

        Parameters
        ----------
        name : str
            Name of the instance.
        folder : Path
            Folder for the instance's log.
        overrides : mapping of str to mapping
            Values by section and key that replace the defaults.

        Returns
        -------
        Settings
            The settings.
        """
        place = self.instances[name]
        table = place.table_proxy if self.proxied else self.platform
        mesh = MeshSettings(host=place.mesh.host, port=place.mesh.port)
        if self.proxied:
            proxy = place.mesh_proxy
            mesh = replace(mesh, advertised_host=proxy.host, advertised_port=proxy.port)
        settings = Settings(
            instance=InstanceSettings(name=name, data_centre=place.data_centre),
            entry=EntrySettings(host=place.entry.host, port=place.entry.port),
            admin=AdminSettings(host=place.admin.host, port=place.admin.port),
            mesh=mesh,
            platform=PlatformSettings(table_host=table.host, table_port=table.port),
            log=LogSettings(path=str(folder / f"{name}.log")),
        )
        return _override(settings, overrides)

    def make_declarations(self, unfenced: Sequence[str] = ()) -> Declarations:
        """
        Declare the services, data centres and upstreams of the shape.

        Parameters
        ----------
        unfenced : sequence of str
            Upstreams that don't check fencing tokens.

        Returns
        -------
        Declarations
            Services, data centres and upstreams of the system.
        """
        return Declarations(
            services=[_declare_service(service) for service in self.shape.services],
            data_centres=[DataCentre(name=name) for name in self.shape.data_centres],
            upstreams=[
                self._declare_upstream(place, place.name not in unfenced)
                for place in self.upstreams.values()
            ],
        )

    def make_upstream_settings(
        self, name: str, overrides: Mapping[str, Any], seed: int
    ) -> UpstreamSettings:
        """
        Make the settings of an upstream stand-in.

        Parameters
        ----------
        name : str
            Name of the upstream.
        overrides : mapping of str to object
            Values by field name that replace the defaults.
        seed : int
            Seed of the upstream's service times.

        Returns
        -------
        UpstreamSettings
            The settings.
        """
        place = self.upstreams[name]
        settings = UpstreamSettings(
            name=name,
            service=place.service.name,
            host=place.address.host,
            port=place.address.port,
            slots=place.service.slots,
            connections=place.service.connections,
            keyed=place.service.keyed,
            seed=seed,
        )
        return replace(settings, **overrides)

    def make_instance_list(self) -> InstanceList:
        """Return the initial instance list of the platform."""
        entries = []
        for place in self.instances.values():
            mesh = place.mesh_proxy if self.proxied else place.mesh
            entry = InstanceEntry(
                name=place.name,
                data_centre=place.data_centre,
                mesh_host=mesh.host,
                mesh_port=mesh.port,
                admin_host=place.admin.host,
                admin_port=place.admin.port,
            )
            entries.append(entry)
        return InstanceList(instances=entries)

    def _make_address(self, offset: int) -> Address:
        return Address(self.host, self.base_port + offset)

    def _list_instances(self) -> Iterator[InstanceAddresses]:
        data_centres = self.shape.data_centres
        for number in range(1, self.shape.instances + 1):
            yield InstanceAddresses(
                name=f"i{number}",
                data_centre=data_centres[(number - 1) % len(data_centres)],
                entry=self._make_address(_ENTRY_OFFSET + number),
                admin=self._make_address(_ADMIN_OFFSET + number),
                mesh=self._make_address(_MESH_OFFSET + number),
                mesh_proxy=self._make_address(_MESH_PROXY_OFFSET + number),
                table_proxy=self._make_address(_TABLE_PROXY_OFFSET + number),
            )

    def _list_upstreams(self) -> Iterator[UpstreamPlace]:
        data_centres = self.shape.data_centres
        offset = 0
        for service in self.shape.services:
            for number in range(service.upstreams):
                offset += 1
                # Distributes the upstreams of each shard over the data centres.
                round_number, shard = divmod(number, service.shards)
                yield UpstreamPlace(
                    name=f"{service.name}-{number + 1}",
                    service=service,
                    shard=shard,
                    data_centre=data_centres[
                        (round_number + shard) % len(data_centres)
                    ],
                    address=self._make_address(_UPSTREAM_OFFSET + offset),
                    proxy=self._make_address(_UPSTREAM_PROXY_OFFSET + offset),
                )

    def _declare_upstream(self, place: UpstreamPlace, checks_fence: bool) -> Upstream:
        address = place.proxy if self.proxied else place.address
        return Upstream(
            name=place.name,
            service=place.service.name,
            shard=place.shard,
            data_centre=place.data_centre,
            host=address.host,
            port=address.port,
            slots=place.service.slots,
            connections=place.service.connections,
            checks_fence=checks_fence,
        )


def _declare_service(shape: ServiceShape) -> Service:
    source = KeySource.path_segment if shape.keyed else KeySource.none
    return Service(
        name=shape.name,
        path_prefix=f"/{shape.name}",
        key=KeyRule(source=source),
        slots=shape.key_slots,
        shards=shape.shards,
    )


def _override(settings: Settings, overrides: Mapping[str, Any]) -> Settings:
    sections = {
        name: replace(getattr(settings, name), **values)
        for name, values in overrides.items()
    }
    return convert(replace(settings, **sections), Settings, from_attributes=True)
