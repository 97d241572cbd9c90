"""Limits on the requests per second that upstreams name for themselves."""

from dataclasses import dataclass

__all__ = ["NamedLimit", "NamedLimits", "Process"]

Process = tuple[str, int]
"""Identity of an upstream, and the start of its process in Unix milliseconds."""

# Lowest limit in requests per second that is applied. An upstream that takes none could
# not be heard to take more again.
MIN_LIMIT_PER_S = 0.2
# Seconds by which a repeated statement must be later. Times become later by the way of
# each message, so that a statement that is passed on would never age.
MIN_LATER_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class NamedLimit:
    """
    What an upstream's answer says about its limit.

    Parameters
    ----------
    per_s : float or None
        Requests per second from all instances together; None if it names no limit.
    heard_at : float
        Time in seconds of the answer; for an answer without a limit, the time at which
        its request was sent.
    """

    per_s: float | None
    heard_at: float


class NamedLimits:
    """
    The latest statement of each upstream process, from whichever instance heard it.

    Examples
    --------
    >>> limits = NamedLimits()
    >>> limits.record(("u1", 5), NamedLimit(per_s=1.5, heard_at=10.0))
    True
    >>> limits.record(("u1", 5), NamedLimit(per_s=None, heard_at=9.9))
    False
    >>> limits.find(("u1", 5)), limits.find(("u1", 6))
    (1.5, None)
    >>> limits.record(("u1", 5), NamedLimit(per_s=None, heard_at=11.0))
    True
    >>> limits.find(("u1", 5)) is None
    True
    """

    def __init__(self) -> None:
        self._statements: dict[Process, NamedLimit] = {}

    def __len__(self) -> int:
        return len(self._statements)

    def record(self, process: Process, statement: NamedLimit) -> bool:
        """
        Record a statement unless a later one is known.

        Parameters
        ----------
        process : tuple of str and int
            Process of the upstream.
        statement : NamedLimit
            What it said.

        Returns
        -------
        bool
            Whether the limit in force has changed.
        """
        known = self._statements.get(process)
        if known is None and statement.per_s is None:
            return False
        if known is not None:
            later_s = statement.heard_at - known.heard_at
            is_same = statement.per_s == known.per_s
            if later_s <= 0.0 or (is_same and later_s < MIN_LATER_S):
                return False
        self._statements[process] = statement
        return known is None or known.per_s != statement.per_s

    def find(self, process: Process) -> float | None:
        """Return the limit in force in requests per second; None for none."""
        statement = self._statements.get(process)
        if statement is None or statement.per_s is None:
            return None
        return max(MIN_LIMIT_PER_S, statement.per_s)

    def find_heard_at(self, process: Process) -> float:
        """Return the time of the latest statement in seconds; -inf if there is none."""
        statement = self._statements.get(process)
        return float("-inf") if statement is None else statement.heard_at

    def list_statements(self, cleared_since: float) -> dict[Process, NamedLimit]:
        """
        Return the limits in force, and those that have ended lately, by process.

        Parameters
        ----------
        cleared_since : float
            Time in seconds from which on ended limits are listed.
        """
        return {
            process: statement
            for process, statement in self._statements.items()
            if statement.per_s is not None or statement.heard_at >= cleared_since
        }

    def remove(self, process: Process) -> None:
        """Remove the statement of a process that has ended."""
        self._statements.pop(process, None)
