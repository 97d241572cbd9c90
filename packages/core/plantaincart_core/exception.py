"""Errors of the core package, in alphabetical order."""

from typing import TYPE_CHECKING

from plantaincart_schema.exception import PlantaincartError

if TYPE_CHECKING:
    from plantaincart_core.verdict import Refusal

__all__ = [
    "DuplicateOwnerError",
    "MissingReadingError",
    "QueueFullError",
    "RecordNotDurableError",
    "RecordsFullError",
    "RefusedError",
    "UnknownRecordError",
]


class DuplicateOwnerError(PlantaincartError):
    """Two assignments contain the same slot for different upstreams."""


class MissingReadingError(PlantaincartError):
    """A grant can't be prepared because the upstream's clock hasn't been read."""


class QueueFullError(PlantaincartError):
    """A bounded queue has reached its limit."""


class RecordNotDurableError(PlantaincartError):
    """A request can't be dispatched because its intent isn't durable yet."""


class RecordsFullError(PlantaincartError):
    """The idempotency records of a shard have reached their limit; none has expired."""


class RefusedError(PlantaincartError):
    """
    The router rejects a request.

    Parameters
    ----------
    refusal : Refusal
        Status, reason and verdict of the answer to the caller.
    """

    def __init__(self, refusal: "Refusal") -> None:
        super().__init__(refusal)
        self.refusal = refusal

    def __str__(self) -> str:
        return f"{self.refusal.reason}: {self.refusal.detail}"


class UnknownRecordError(PlantaincartError):
    """There is no idempotency record that the outcome of a request could change."""
