"""Room in memory for the answers of requests that are about to be sent."""

from math import inf

__all__ = ["LARGE_BYTES", "AnswerRoom"]

# Expected size in bytes from which a request counts as one with a large answer.
LARGE_BYTES = 16384
# Fraction of the memory up to which requests with large answers are sent, and all
# others. Small ones stay possible while large ones are refused.
LARGE_SHARE = 0.6
SMALL_SHARE = 0.9
# Weight of an answer below the expected size in the mean; a larger one replaces it by
# half, so that the expected size is near that of the large ones of a kind.
SMOOTHING = 0.05
RAISE = 0.5
# Maximum number of kinds whose size is remembered.
MAX_KINDS = 1000


class AnswerRoom:
    """
    Bytes that the answers of requests in progress will take, by kind of request.

    Parameters
    ----------
    max_bytes : float
        Memory for all that is held; infinite if it isn't known.

    Examples
    --------
    >>> room = AnswerRoom(max_bytes=1_000_000)
    >>> room.record_answer("pack", 300_000)
    >>> room.try_reserve("pack", held_bytes=0), room.try_reserve("pack", 0)
    (True, True)
    >>> room.try_reserve("pack", 0), room.try_reserve("lookup", 0)
    (False, True)
    >>> room.release("pack"), room.try_reserve("pack", 0)
    (None, True)
    """

    def __init__(self, max_bytes: float = inf) -> None:
        self._max_bytes = max_bytes
        self._expected: dict[str, float] = {}
        self._in_progress: dict[str, int] = {}

    def expect(self, kind: str) -> float:
        """Return the expected size in bytes of a kind's answers."""
        return self._expected.get(kind, 0.0)

    def try_reserve(self, kind: str, held_bytes: float) -> bool:
        """
        Count a request whose answer there is room for.

        Parameters
        ----------
        kind : str
            Kind of request; those of a kind have answers of similar size.
        held_bytes : float
            Bytes held for other things than answers of requests in progress.

        Returns
        -------
        bool
            Whether it was counted; otherwise it must not be sent.
        """
        if self._max_bytes < inf:
            expected = self.expect(kind)
            share = LARGE_SHARE if expected >= LARGE_BYTES else SMALL_SHARE
            committed = held_bytes + self.sum_expected() + expected
            if committed > share * self._max_bytes:
                return False
        self._in_progress[kind] = self._in_progress.get(kind, 0) + 1
        return True

    def release(self, kind: str) -> None:
        """Count a request as ended."""
        count = self._in_progress.get(kind, 0) - 1
        if count > 0:
            self._in_progress[kind] = count
        else:
            self._in_progress.pop(kind, None)

    def sum_expected(self) -> float:
        """Return the bytes expected for all requests in progress."""
        return sum(
            count * self.expect(kind) for kind, count in self._in_progress.items()
        )

    def record_answer(self, kind: str, byte_count: int) -> None:
        """Add the size in bytes of an answer to what is known of its kind."""
        expected = self._expected.get(kind)
        if expected is None:
            if len(self._expected) < MAX_KINDS:
                self._expected[kind] = float(byte_count)
            return
        weight = RAISE if byte_count > expected else SMOOTHING
        self._expected[kind] = expected + weight * (byte_count - expected)
