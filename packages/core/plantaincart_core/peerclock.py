"""Estimates of the monotonic clocks of peers from readings in their messages."""

from dataclasses import dataclass

__all__ = ["PeerClocks", "PeerTime"]

MS_PER_S = 1000.0
# Upper bound on the relative drift of two clocks, by which old estimates are lowered.
MAX_DRIFT = 0.001


@dataclass(frozen=True)
class PeerTime:
    """
    A time on the monotonic clock of a peer.

    Parameters
    ----------
    incarnation : str
        Incarnation of the peer.
    clock_ms : int
        Lower bound on the time of the peer's clock in milliseconds.
    """

    incarnation: str
    clock_ms: int


@dataclass(frozen=True)
class _Offset:
    incarnation: str
    offset_ms: float
    received_at: float

    def estimate_lower_bound(self, now: float) -> float:
        return self.offset_ms - (now - self.received_at) * MAX_DRIFT * MS_PER_S


class PeerClocks:
    """
    Lower bounds on the monotonic clocks of peers.

    Notes
    -----
    A reading is taken before it is received, so the peer's clock is at least the
    reading plus the time since its receipt. The highest of these bounds is kept; it is
    lowered by the maximum drift as it gets older. A deadline that is sent as a time on
    the receiver's clock is thus never later than intended, however long the message
    is buffered, and wall clocks aren't compared.

    References
    ----------
    Cristian, "Probabilistic clock synchronization", Distributed Computing 3, 1989.

    Examples
    --------
    >>> clocks = PeerClocks()
    >>> clocks.record("r2", "x", 5000, received_at=100.0)
    >>> clocks.estimate("r2", at=101.0, now=100.0)
    PeerTime(incarnation='x', clock_ms=6000)
    """

    def __init__(self) -> None:
        self._offsets: dict[str, _Offset] = {}

    def record(
        self, name: str, incarnation: str, clock_ms: int, received_at: float
    ) -> None:
        """
        Record a reading.

        Parameters
        ----------
        name, incarnation : str
            The peer.
        clock_ms : int
            The peer's monotonic clock in milliseconds when it sent the reading.
        received_at : float
            Own monotonic clock in seconds when the reading was received.
        """
        offset = _Offset(incarnation, clock_ms - received_at * MS_PER_S, received_at)
        previous = self._offsets.get(name)
        if (
            previous is None
            or previous.incarnation != incarnation
            or previous.estimate_lower_bound(received_at) <= offset.offset_ms
        ):
            self._offsets[name] = offset

    def estimate(self, name: str, at: float, now: float) -> PeerTime | None:
        """
        Estimate a peer's clock at a time.

        Parameters
        ----------
        name : str
            The peer.
        at : float
            Time on the own monotonic clock in seconds.
        now : float
            Present time on the own monotonic clock.

        Returns
        -------
        PeerTime or None
            Lower bound on the peer's clock at `at`; None without a reading.
        """
        offset = self._offsets.get(name)
        if offset is None:
            return None
        clock_ms = int(at * MS_PER_S + offset.estimate_lower_bound(now))
        return PeerTime(offset.incarnation, clock_ms)
