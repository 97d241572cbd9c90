"""Until when a leader may act for its shard."""

from abc import ABC, abstractmethod

from plantaincart_core.lease import ShardKey

__all__ = ["Authority"]


class Authority(ABC):
    """Tells a shard's leader until when it may dispatch and grant."""

    @abstractmethod
    def find_authority_expiry(
        self, shard: ShardKey, epoch: int, successors: set[str]
    ) -> float:
        """
        Find the end of the present right to lead a shard.

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
            Seconds on the loop's clock; in the past if the right has ended.
        """

    @abstractmethod
    def is_table_reachable(self) -> bool:
        """Tell whether a recent read of the table has succeeded."""

    @abstractmethod
    def report_loss(self, shard: ShardKey, epoch: int, reason: str) -> None:
        """Take note that another instance leads the shard."""
