"""The platform's object store."""

from abc import ABC, abstractmethod

from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError

from plantaincart_router.exception import PlatformRefusedError, PlatformUnavailableError
from plantaincart_router.platform.client import PlatformClient, quote_name

__all__ = ["HttpObjectStore", "ObjectStore"]


class ObjectStore(ABC):
    """Store of named byte strings; the last put of a name wins."""

    @abstractmethod
    async def put(self, name: str, data: bytes) -> None:
        """
        Store an object.

        Parameters
        ----------
        name : str
            Name; slashes are allowed.
        data : bytes
            Contents.

        Raises
        ------
        PlatformUnavailableError
            If the store gave no complete answer; the put may have taken effect.
        """

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """
        Fetch an object.

        Parameters
        ----------
        name : str
            Name.

        Returns
        -------
        bytes or None
            Contents, or None if there is no such object.

        Raises
        ------
        PlatformUnavailableError
            If the store gave no complete answer.
        """

    @abstractmethod
    async def list(self, prefix: str) -> list[str]:
        """
        List the names that start with a prefix.

        Parameters
        ----------
        prefix : str
            Start of the names.

        Returns
        -------
        list of str
            Names, sorted.

        Raises
        ------
        PlatformUnavailableError
            If the store gave no complete answer.
        """

    def close(self) -> None:  # noqa: B027
        """Close idle connections."""


class HttpObjectStore(ObjectStore):
    """
    Object store accessed over the platform's HTTP protocol.

    Parameters
    ----------
    host : str
        IP address of the store.
    port : int
        TCP port of the store.
    timeout_s : float
        Limit in seconds for one call.
    instance : str
        Instance name sent with each call; empty to send none.
    """

    def __init__(
        self, host: str, port: int, timeout_s: float, instance: str = ""
    ) -> None:
        self._client = PlatformClient(host, port, timeout_s, instance)

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        target = f"/objects/{quote_name(name)}"
        if await self._client.call("PUT", target, data) is None:
            raise PlatformRefusedError(f"PUT {target}: status 404")

    async def get(self, name: str) -> bytes | None:
        """Fetch an object."""
        return await self._client.call("GET", f"/objects/{quote_name(name)}")

    async def list(self, prefix: str) -> list[str]:
        """List the names that start with a prefix."""
        target = f"/objects?prefix={quote_name(prefix)}"
        data = await self._client.call("GET", target)
        try:
            names: list[str] = decode_json(data or b"[]", list)
        except MalformedMessageError as error:
            raise PlatformUnavailableError(f"GET {target}: {error}") from error
        return names

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
