"""The coordinator's decisions in the store, and the changes that others are told."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.generated.direct import OwnershipRow

__all__ = ["OwnershipWriter"]


class OwnershipWriter(ABC):
    """Where placements put what they have decided."""

    @abstractmethod
    def next_fencing_token(self) -> int:
        """Return a fencing token above all that were ever given."""

    @abstractmethod
    async def write(
        self, service: str, describe: Callable[[int, int], OwnershipRow]
    ) -> None:
        """
        Write the row of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        describe : callable
            Makes the row from the epoch and the highest sequence number.

        Raises
        ------
        StoreUnavailableError
            If it isn't known to be written.
        """

    @abstractmethod
    def publish(self, service: str, keys: KeyRange, free_in_s: float = 0.0) -> None:
        """
        Tell other instances of a new owner.

        Parameters
        ----------
        service : str
            Name of the service.
        keys : KeyRange
            Keys and their owner; none while they move.
        free_in_s : float
            Seconds until keys without an owner should have one; 0 if that isn't known.
        """
