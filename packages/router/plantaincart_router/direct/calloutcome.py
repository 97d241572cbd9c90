"""Outcomes of the coordinator's calls: whether any upstream answers them."""

from collections import Counter
from collections.abc import Iterable
from time import monotonic

__all__ = ["MIN_FAILING_UPSTREAMS", "CallOutcomes", "Process"]

# Id of an upstream, and the start of its process.
Process = tuple[str, int]

# Minimum number of upstreams with two failed calls in a row, and minimum fraction of
# all called upstreams with a failed one. Fewer failures may be those of the upstreams.
MIN_FAILING_UPSTREAMS = 3
MIN_FAILED_SHARE = 0.9
# Seconds for which a failure counts. Upstreams are called again within a second until
# they are gone.
FAILURE_MEMORY_S = 2.0


class CallOutcomes:
    """
    Failed calls since the last answer of any upstream.

    Parameters
    ----------
    cut_off_s : float
        Seconds without an answer after which an instance is taken to be cut off.

    Notes
    -----
    An upstream counts as failing after two calls: all calls that were in progress fail
    at once after a pause of the process.

    Examples
    --------
    >>> outcomes = CallOutcomes(cut_off_s=1.0)
    >>> started_at = monotonic()
    >>> for upstream in ("u1", "u2", "u3"):
    ...     for _ in range(2):
    ...         outcomes.record_start((upstream, 1))
    ...         outcomes.record_failure((upstream, 1), started_at)
    >>> outcomes.seems_cut_off([("u1", 1), ("u2", 1), ("u3", 1)])
    True
    >>> outcomes.is_cut_off([], started_at + 0.5)
    False
    >>> outcomes.is_cut_off([], started_at + 1.5)
    True
    >>> outcomes.record_answer()
    >>> outcomes.is_cut_off([], started_at + 1.5)
    False
    """

    def __init__(self, cut_off_s: float) -> None:
        self._cut_off_s = cut_off_s
        self._last_answer_at = monotonic()
        self._unanswered_since = self._last_answer_at
        self._called: set[Process] = set()
        self._failures: Counter[Process] = Counter()
        self._last_failed_at: dict[Process, float] = {}

    @property
    def failed_upstreams(self) -> int:
        """Number of upstreams with failed calls since the last answer."""
        return len(self._failures)

    def measure_silence(self, now: float) -> float:
        """Return the seconds since the last answer of any upstream."""
        return now - self._last_answer_at

    def record_start(self, process: Process) -> None:
        """Record that a call is made."""
        self._called.add(process)

    def record_answer(self) -> None:
        """Record that an upstream has answered, be it with a refusal."""
        self._last_answer_at = monotonic()
        self._called.clear()
        self._failures.clear()
        self._last_failed_at.clear()

    def record_failure(self, process: Process, started_at: float) -> None:
        """
        Record that a call got no answer.

        Parameters
        ----------
        process : Process
            The upstream that was called.
        started_at : float
            Time in seconds at which the call was made.
        """
        started_at = max(started_at, self._last_answer_at)
        if not self._failures or started_at < self._unanswered_since:
            self._unanswered_since = started_at
        self._called.add(process)
        self._failures[process] += 1
        self._last_failed_at[process] = monotonic()

    def seems_cut_off(self, owners: Iterable[Process]) -> bool:
        """
        Whether calls to nearly all upstreams have failed since the last answer.

        Parameters
        ----------
        owners : iterable of Process
            Upstreams that are called regularly.
        """
        self._remove_outdated()
        failing = sum(count > 1 for count in self._failures.values())
        if failing < MIN_FAILING_UPSTREAMS:
            return False
        called = self._called.union(owners)
        return len(self._failures) >= MIN_FAILED_SHARE * len(called)

    def is_cut_off(self, owners: Iterable[Process], now: float) -> bool:
        """
        Whether that has been so for `cut_off_s`.

        Parameters
        ----------
        owners : iterable of Process
            Upstreams that are called regularly.
        now : float
            Present time in seconds.
        """
        silence_s = now - self._unanswered_since
        return silence_s >= self._cut_off_s and self.seems_cut_off(owners)

    def _remove_outdated(self) -> None:
        oldest = monotonic() - FAILURE_MEMORY_S
        for process, failed_at in list(self._last_failed_at.items()):
            if failed_at < oldest:
                del self._last_failed_at[process], self._failures[process]
                self._called.discard(process)
