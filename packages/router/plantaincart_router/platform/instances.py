"""The platform's list of live and leaving instances."""

from abc import ABC, abstractmethod

from plantaincart_schema.generated.platform import InstanceEntry, InstanceList

from plantaincart_router.platform.client import PlatformClient

__all__ = ["HttpInstanceDirectory", "InstanceDirectory"]


class InstanceDirectory(ABC):
    """
    The platform's list of instances.

    Notes
    -----
    The list may lag: it may lack a new instance and contain one that has ended.
    """

    @abstractmethod
    async def list_instances(self) -> list[InstanceEntry]:
        """
        List the instances.

        Returns
        -------
        list of InstanceEntry
            Instances, live and leaving.

        Raises
        ------
        PlatformUnavailableError
            If the platform gave no complete answer.
        """

    def close(self) -> None:  # noqa: B027
        """Close idle connections."""


class HttpInstanceDirectory(InstanceDirectory):
    """
    The list of instances, fetched over the platform's HTTP protocol.

    Parameters
    ----------
    host : str
        IP address of the platform.
    port : int
        TCP port of the platform.
    timeout_s : float
        Limit in seconds for one call.
    instance : str
        Instance name sent with each call; empty to send none.
    """

    def __init__(
        self, host: str, port: int, timeout_s: float, instance: str = ""
    ) -> None:
        self._client = PlatformClient(host, port, timeout_s, instance)

    async def list_instances(self) -> list[InstanceEntry]:
        """List the instances."""
        answer = await self._client.call_json("GET", "/instances", InstanceList)
        return answer.instances

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
