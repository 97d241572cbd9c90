"""Addresses of the processes of a local system."""

from dataclasses import dataclass

from plantaincart_testing.shape import ServiceShape

__all__ = ["Address", "InstanceAddresses", "UpstreamAddresses"]


@dataclass(frozen=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, kw_only=True)
class InstanceAddresses:
    """
    Addresses of an instance.

    Parameters
    ----------
    mesh_proxy : Address
        Address that peers connect to if the system has proxies.
    table_proxy : Address
        Address at which this instance reaches the platform if there are proxies.
    """

    name: str
    data_centre: str
    entry: Address
    admin: Address
    mesh: Address
    mesh_proxy: Address
    table_proxy: Address


@dataclass(frozen=True, kw_only=True)
class UpstreamAddresses:
    """
    Addresses of an upstream, and the service that it belongs to.

    Parameters
    ----------
    proxy : Address
        Address that instances connect to if the system has proxies.
    """

    name: str
    service: ServiceShape
    shard: int
    data_centre: str
    address: Address
    proxy: Address
