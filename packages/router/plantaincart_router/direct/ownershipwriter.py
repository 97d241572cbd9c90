"""Interface for storing the owners of keys and announcing them to the members."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.generated.direct import OwnershipRow

__all__ = ["OwnershipWriter"]


class OwnershipWriter(ABC):
    """Stores and announces the owners that placements have chosen."""

    @abstractmethod
    def next_fencing_token(self) -> int:
        """Return a fencing token that is higher than all previous ones."""

    @abstractmethod
    async def write(
        self, service: str, describe: Callable[[int, int], OwnershipRow]
    ) -> None:
        """
        Write the ownership row of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        describe : callable
            Returns the row for an epoch and the highest sequence number.

        Raises
        ------
        StoreUnavailableError
            If the store didn't confirm the write.
        """

    @abstractmethod
    def publish(
        self, service: str, key_range: KeyRange, free_in_s: float = 0.0
    ) -> None:
        """
        Announce a new owner to the members.

        Parameters
        ----------
        service : str
            Name of the service.
        key_range : KeyRange
            Keys with their owner; without one while they move.
        free_in_s : float
            Seconds until unowned keys should get an owner; 0 if that isn't known.
        """
