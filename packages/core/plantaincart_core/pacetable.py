"""Limits of paced upstreams as one instance knows them."""

from collections.abc import Mapping

from plantaincart_core.pace import PaceSettings

__all__ = ["PaceTable"]


class PaceTable:
    """
    Limits as one instance has been told them, and the answers that it has got.

    Parameters
    ----------
    settings : PaceSettings
        How limits grow while the coordinator is silent.

    Examples
    --------
    >>> table = PaceTable(PaceSettings())
    >>> table.apply({"u1": 1.0}, now=0.0)
    >>> table.find_limit("u1", now=0.9), table.find_limit("u1", now=3.0)
    (1.0, 2.0)
    >>> table.record("u1", is_good=False)
    >>> table.drain_outcomes()
    {'u1': [0, 1]}
    """

    def __init__(self, settings: PaceSettings) -> None:
        self._settings = settings
        self._limits: dict[str, float] = {}
        self._told_at = float("-inf")
        self._outcomes: dict[str, list[int]] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._limits

    def record(self, upstream: str, is_good: bool) -> None:
        """Count an answer or a failure of an upstream."""
        self._outcomes.setdefault(upstream, [0, 0])[0 if is_good else 1] += 1

    def record_full(self, upstream: str) -> None:
        """
        Count a request for which an upstream had no room.

        It says nothing of the upstream's health, but of the pace if there is one.
        """
        if upstream in self._limits:
            self.record(upstream, is_good=False)

    def drain_outcomes(self) -> dict[str, list[int]]:
        """Return the good and bad answers since the last call, by upstream."""
        outcomes, self._outcomes = self._outcomes, {}
        return outcomes

    def apply(self, limits: Mapping[str, float], now: float) -> None:
        """Adopt the limits of all paced upstreams."""
        self._limits, self._told_at = dict(limits), now

    def record_word(self, now: float) -> None:
        """Record that the coordinator was heard, and hasn't changed the limits."""
        self._told_at = now

    def list_limits(self) -> Mapping[str, float]:
        """Return the limits as told last."""
        return self._limits

    def find_limit(self, upstream: str, now: float) -> float | None:
        """Return the requests that an upstream may get from all; None for any."""
        limit = self._limits.get(upstream)
        if limit is None:
            return None
        silent_s = now - self._told_at - self._settings.silence_s
        if silent_s <= 0.0:
            return limit
        growth: float = 2.0 ** (silent_s / self._settings.silent_doubling_s)
        return limit * growth

    def remove(self, upstream: str) -> None:
        """Forget an upstream whose process has ended."""
        self._limits.pop(upstream, None)
        self._outcomes.pop(upstream, None)
