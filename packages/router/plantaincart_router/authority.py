"""Until when a leader may act for its shard."""

from abc import ABC, abstractmethod

from plantaincart_core.lease import ShardKey

__all__ = ["Authority"]


class Authority(ABC):
    """Determines until when a shard's leader may dispatch and grant."""

    @abstractmethod
    def find_authority_expiry(
        self, shard: ShardKey, epoch: int, successors: set[str]
    ) -> float:
        """
        Return until when this instance may lead a shard.

        Parameters
        ----------
        shard : ShardKey
            The shard.
        epoch : int
            Epoch of the leadership.
        successors : set of str
            Instances that the shard's row may name as successors.

        Returns
        -------
        float
            Time in seconds of the loop's clock; in the past if it may no longer lead.
        """

    @abstractmethod
    def is_table_reachable(self) -> bool:
        """Return whether a recent read of the table has succeeded."""

    @abstractmethod
    def report_loss(self, shard: ShardKey, epoch: int, reason: str) -> None:
        """Handle the loss of a leadership, for example to another instance."""
