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

from plantaincart_testing.addresses import Address, InstanceAddresses, UpstreamAddresses
from plantaincart_testing.shape import ServiceShape, Shape
from plantaincart_testing.upstream_settings import UpstreamSettings

__all__ = ["Layout"]

_ENTRY_PORT_OFFSET = 1000
_ADMIN_PORT_OFFSET = 1100
_MESH_PORT_OFFSET = 1200
_MESH_PROXY_PORT_OFFSET = 1300
_TABLE_PROXY_PORT_OFFSET = 1400
_UPSTREAM_PORT_OFFSET = 2000
_UPSTREAM_PROXY_PORT_OFFSET = 2200
_UPSTREAM_CONTROL_PORT_OFFSET = 2400


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
        self.instances = {
            instance.name: instance for instance in self._list_instances()
        }
        self.upstreams = {
            upstream.name: upstream for upstream in self._list_upstreams()
        }

    def find_upstream_control(self, process: int) -> Address:
        """Return the control address of an upstream process, given its number."""
        return self._make_address(_UPSTREAM_CONTROL_PORT_OFFSET + process)

    def list_ports(self) -> list[int]:
        """Return the ports that the system binds, including those of the proxies."""
        ports = [self.platform, self.platform_control, self.proxy_control]
        for instance in self.instances.values():
            ports += [instance.entry, instance.admin, instance.mesh]
            ports += [instance.mesh_proxy, instance.table_proxy]
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
        instance = self.instances[name]
        table = instance.table_proxy if self.proxied else self.platform
        mesh = MeshSettings(host=instance.mesh.host, port=instance.mesh.port)
        if self.proxied:
            proxy = instance.mesh_proxy
            mesh = replace(mesh, advertised_host=proxy.host, advertised_port=proxy.port)
        settings = Settings(
            instance=InstanceSettings(name=name, data_centre=instance.data_centre),
            entry=EntrySettings(host=instance.entry.host, port=instance.entry.port),
            admin=AdminSettings(host=instance.admin.host, port=instance.admin.port),
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
                self._declare_upstream(upstream, upstream.name not in unfenced)
                for upstream in self.upstreams.values()
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
        upstream = self.upstreams[name]
        settings = UpstreamSettings(
            name=name,
            service=upstream.service.name,
            host=upstream.address.host,
            port=upstream.address.port,
            slots=upstream.service.slots,
            connections=upstream.service.connections,
            keyed=upstream.service.keyed,
            seed=seed,
        )
        return replace(settings, **overrides)

    def make_instance_list(self) -> InstanceList:
        """Return the initial instance list of the platform."""
        entries = []
        for instance in self.instances.values():
            mesh = instance.mesh_proxy if self.proxied else instance.mesh
            entry = InstanceEntry(
                name=instance.name,
                data_centre=instance.data_centre,
                mesh_host=mesh.host,
                mesh_port=mesh.port,
                admin_host=instance.admin.host,
                admin_port=instance.admin.port,
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
                entry=self._make_address(_ENTRY_PORT_OFFSET + number),
                admin=self._make_address(_ADMIN_PORT_OFFSET + number),
                mesh=self._make_address(_MESH_PORT_OFFSET + number),
                mesh_proxy=self._make_address(_MESH_PROXY_PORT_OFFSET + number),
                table_proxy=self._make_address(_TABLE_PROXY_PORT_OFFSET + number),
            )

    def _list_upstreams(self) -> Iterator[UpstreamAddresses]:
        data_centres = self.shape.data_centres
        offset = 0
        for service in self.shape.services:
            for number in range(service.upstreams):
                offset += 1
                # Distributes the upstreams of each shard over the data centres.
                round_number, shard = divmod(number, service.shards)
                yield UpstreamAddresses(
                    name=f"{service.name}-{number + 1}",
                    service=service,
                    shard=shard,
                    data_centre=data_centres[
                        (round_number + shard) % len(data_centres)
                    ],
                    address=self._make_address(_UPSTREAM_PORT_OFFSET + offset),
                    proxy=self._make_address(_UPSTREAM_PROXY_PORT_OFFSET + offset),
                )

    def _declare_upstream(
        self, upstream: UpstreamAddresses, checks_fence: bool
    ) -> Upstream:
        address = upstream.proxy if self.proxied else upstream.address
        return Upstream(
            name=upstream.name,
            service=upstream.service.name,
            shard=upstream.shard,
            data_centre=upstream.data_centre,
            host=address.host,
            port=address.port,
            slots=upstream.service.slots,
            connections=upstream.service.connections,
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
