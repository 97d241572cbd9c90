"""Upstreams that have said in their answers that they leave."""

__all__ = ["LeavingUpstreams"]


class LeavingUpstreams:
    """
    Upstream processes that leave, with the time of their first answer that said so.

    Notes
    -----
    An entry lasts until a later process with the same identity leaves as well. A
    process doesn't stay after it has said that it leaves, whatever the table of
    announcements shows later.

    Examples
    --------
    >>> leaving = LeavingUpstreams()
    >>> leaving.record("u1", 5, now=10.0)
    True
    >>> leaving.record("u1", 5, now=11.0)
    False
    >>> leaving.find_since("u1", 5)
    10.0
    >>> leaving.find_since("u1", 6) is None
    True
    """

    def __init__(self) -> None:
        self._first_answers: dict[str, tuple[int, float]] = {}

    def record(self, upstream: str, born: int, now: float) -> bool:
        """
        Record an answer that says that its upstream leaves.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        born : int
            Start of its process in Unix milliseconds.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it is the first such answer of the process.
        """
        known_born, _ = self._first_answers.get(upstream, (-1, now))
        if born <= known_born:
            return False
        self._first_answers[upstream] = (born, now)
        return True

    def find_since(self, upstream: str, born: int) -> float | None:
        """
        Return when a process, or a later one of its id, first said that it leaves.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        born : int
            Start of its process in Unix milliseconds.

        Returns
        -------
        float or None
            Time in seconds, or None if it hasn't said so.
        """
        known_born, since = self._first_answers.get(upstream, (-1, 0.0))
        return since if born <= known_born else None

    def list_recent(self, now: float, max_age_s: float) -> dict[str, int]:
        """
        Return the process starts of the upstreams that lately began to leave.

        Parameters
        ----------
        now : float
            Present time in seconds.
        max_age_s : float
            Maximum time in seconds since the first answer.

        Returns
        -------
        dict of str to int
            Process start in Unix milliseconds by identity.
        """
        return {
            upstream: born
            for upstream, (born, since) in self._first_answers.items()
            if now - since <= max_age_s
        }
