"""Sizes of local systems: services, data centres, upstreams and instances."""

from dataclasses import dataclass

__all__ = ["NAM_CENTRAL", "SHAPES", "SMALL", "SVEALAND", "ServiceShape", "Shape"]


@dataclass(frozen=True, kw_only=True)
class ServiceShape:
    """
    Size of a service.

    Parameters
    ----------
    name : str
        Name of the service; its requests have the path prefix ``/name``.
    keyed : bool
        Whether the first path segment after the prefix is the key.
    upstreams : int
        Number of upstreams.
    shards : int
        Number of shards.
    slots : int
        Requests that each upstream can execute at the same time.
    connections : int
        Connections that each upstream accepts.
    key_slots : int
        Number of hash slots of the key space.
    """

    name: str
    keyed: bool
    upstreams: int
    shards: int
    slots: int = 2
    connections: int = 50
    key_slots: int = 256


@dataclass(frozen=True, kw_only=True)
class Shape:
    """
    Size of a local system.

    Parameters
    ----------
    name : str
        Name of the size.
    data_centres : tuple of str
        Names of the data centres, over which instances and upstreams are distributed.
    services : tuple of ServiceShape
        Sizes of the services.
    instances : int
        Number of instances.
    data_centre_delay_s : float
        One-way delay in seconds between data centres.
    client_delay_s : float
        One-way delay in seconds between callers and instances.
    """

    name: str
    data_centres: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    instances: int
    data_centre_delay_s: float = 0.0
    client_delay_s: float = 0.0


SMALL = Shape(
    name="small",
    data_centres=("north", "south"),
    services=(
        ServiceShape(name="returns-ledger", keyed=True, upstreams=4, shards=2),
        ServiceShape(name="payments-desk", keyed=False, upstreams=2, shards=1),
    ),
    instances=4,
)

SVEALAND = Shape(
    name="svealand",
    data_centres=("north", "south", "east", "west"),
    services=(
        ServiceShape(
            name="returns-ledger",
            keyed=True,
            upstreams=25,
            shards=5,
            slots=2,
            connections=130,
            key_slots=1024,
        ),
        ServiceShape(
            name="payments-desk",
            keyed=False,
            upstreams=10,
            shards=2,
            slots=2,
            connections=130,
        ),
    ),
    instances=12,
    data_centre_delay_s=0.0005,
    client_delay_s=0.001,
)

NAM_CENTRAL = Shape(
    name="nam-central",
    data_centres=("north", "central", "coast"),
    services=(
        ServiceShape(
            name="yard-desk",
            keyed=True,
            upstreams=30,
            shards=5,
            slots=3,
            connections=50,
            key_slots=1024,
        ),
        ServiceShape(
            name="haul-desk",
            keyed=False,
            upstreams=5,
            shards=1,
            slots=3,
            connections=50,
        ),
    ),
    instances=11,
    data_centre_delay_s=0.001,
    client_delay_s=0.001,
)

SHAPES = {shape.name: shape for shape in (SMALL, SVEALAND, NAM_CENTRAL)}
