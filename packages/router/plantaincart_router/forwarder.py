"""Interface through which the entry sends a request to the leader of its shard."""

from abc import ABC, abstractmethod

from plantaincart_schema.generated.mesh import Answer, Request

__all__ = ["Forwarder"]


class Forwarder(ABC):
    """Sends requests to the leaders of their shards and returns the answers."""

    @abstractmethod
    async def forward(self, request: Request, deadline_at: float) -> Answer:
        """
        Send a request to the leader of its shard and return the answer.

        Parameters
        ----------
        request : Request
            Request with its slot and shard.
        deadline_at : float
            Deadline of the caller, in seconds of the loop's clock.

        Returns
        -------
        Answer
            Whole answer of the upstream, or a refusal with its reason.

        Raises
        ------
        RefusedError
            May be raised instead of returning a refusal.

        Notes
        -----
        The entry cancels the call when the caller disconnects, and when there is no
        answer shortly after the deadline.
        """
