"""Name, incarnation and addresses of an instance."""

from dataclasses import dataclass

from plantaincart_schema.generated.settings import Settings

__all__ = ["Identity", "build_identity"]


@dataclass(frozen=True)
class Identity:
    """
    Name, incarnation and addresses of an instance.

    Parameters
    ----------
    name : str
        Name of the instance from its settings.
    incarnation : str
        Unique to this start of the process.
    data_centre : str
        Data centre from its settings.
    mesh_host, mesh_port : str, int
        Address that peers connect to.
    """

    name: str
    incarnation: str
    data_centre: str
    mesh_host: str
    mesh_port: int


def build_identity(settings: Settings, incarnation: str) -> Identity:
    """
    Build the identity of an instance from its settings.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    incarnation : str
        Unique to this start of the process.

    Returns
    -------
    Identity
        Identity with the advertised mesh address, or the bound one if none is set.
    """
    mesh = settings.mesh
    return Identity(
        name=settings.instance.name,
        incarnation=incarnation,
        data_centre=settings.instance.data_centre,
        mesh_host=mesh.advertised_host or mesh.host,
        mesh_port=mesh.advertised_port or mesh.port,
    )
