"""Room that an instance may use at upstreams."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from plantaincart_core.directory import UpstreamRecord

__all__ = ["OpenRoomGate", "RoomGate"]


class RoomGate(ABC):
    """
    Decides whether this instance may send a further request to an upstream now.

    Notes
    -----
    A unit of room is taken before a request is sent, and given back when its attempt
    has ended, whatever the outcome.
    """

    @abstractmethod
    def try_acquire(self, record: UpstreamRecord, now: float) -> bool:
        """
        Take a unit of room at an upstream, if there is one.

        Parameters
        ----------
        record : UpstreamRecord
            Process of the upstream.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether a unit was taken.
        """

    @abstractmethod
    def release(self, record: UpstreamRecord) -> None:
        """Give back a unit that was taken."""

    @abstractmethod
    def has_room(self, record: UpstreamRecord, now: float) -> bool:
        """Return whether `try_acquire` would succeed."""

    @abstractmethod
    def estimate_wait_s(self, record: UpstreamRecord, now: float) -> float:
        """
        Estimate how long a request would wait for a unit of room.

        Parameters
        ----------
        record : UpstreamRecord
            Process of the upstream.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 if there is room.
        """

    @abstractmethod
    def set_listener(self, listener: Callable[[], None]) -> None:
        """Set the function that is called when there may be room again."""

    @abstractmethod
    def record_waiting(self, record: UpstreamRecord, change: int) -> None:
        """
        Count the requests that wait here for room at an upstream.

        Parameters
        ----------
        record : UpstreamRecord
            Process of the upstream.
        change : int
            1 when a request begins to wait, and -1 when it ends to.
        """


class OpenRoomGate(RoomGate):
    """Has room at all upstreams."""

    def try_acquire(self, record: UpstreamRecord, now: float) -> bool:
        """Take a unit, of which there is no end."""
        return True

    def release(self, record: UpstreamRecord) -> None:
        """Forget a unit."""

    def has_room(self, record: UpstreamRecord, now: float) -> bool:
        """Return True."""
        return True

    def estimate_wait_s(self, record: UpstreamRecord, now: float) -> float:
        """Return 0."""
        return 0.0

    def set_listener(self, listener: Callable[[], None]) -> None:
        """Ignore the listener, since nobody waits."""

    def record_waiting(self, record: UpstreamRecord, change: int) -> None:
        """Ignore the count, since nobody waits."""
