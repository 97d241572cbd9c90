"""Quarantine of requests that crash the upstreams that run them."""

from collections import OrderedDict
from collections.abc import Iterable
from math import inf

from plantaincart_schema.generated.mesh import QuarantineNotice
from plantaincart_schema.generated.settings import DispatchSettings

__all__ = ["Quarantine"]

# Fingerprints in memory at the same time.
MAX_FINGERPRINTS = 4096
# Crashed upstream incarnations recorded for one fingerprint.
MAX_INCARNATIONS = 32


class _Suspect:
    """Crashes recorded for one fingerprint."""

    __slots__ = ("crashed", "recorded_at", "strikes")

    def __init__(self) -> None:
        self.crashed: set[str] = set()
        self.strikes: set[str] = set()
        self.recorded_at = float("-inf")


class Quarantine:
    """
    Fingerprints of requests during which upstreams crashed.

    Parameters
    ----------
    settings : DispatchSettings
        Number of strikes that lead to quarantine, and duration of the quarantine.

    Notes
    -----
    A strike is an upstream incarnation that crashed while it ran the request. A
    fingerprint with `quarantine_strikes` strikes is quarantined for `quarantine_s`
    after the last one. Strikes are kept for twice that time. Hence a request that
    crashes another upstream after its quarantine is quarantined again at once, and a
    notice from an instance that recorded the crashes later doesn't extend the
    quarantine. A complete answer clears the strikes of a request that was in flight
    by coincidence when upstreams crashed.

    Examples
    --------
    >>> quarantine = Quarantine(DispatchSettings())
    >>> quarantine.record_crash("yard-desk", "f1", "a#1", now=0.0)
    False
    >>> quarantine.record_crash("yard-desk", "f1", "b#1", now=1.0)
    True
    >>> quarantine.is_quarantined("yard-desk", "f1", now=2.0)
    True
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self._suspects: OrderedDict[tuple[str, str], _Suspect] = OrderedDict()

    def __len__(self) -> int:
        return len(self._suspects)

    def record_crash(
        self, service: str, fingerprint: str, upstream_incarnation: str, now: float
    ) -> bool:
        """
        Record that an upstream crashed while it ran a request.

        Parameters
        ----------
        service, fingerprint : str
            Service and fingerprint of the request.
        upstream_incarnation : str
            Identity of the crashed process.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether the quarantine of the fingerprint begins with this crash.
        """
        was_quarantined = self.is_quarantined(service, fingerprint, now)
        self._add(service, fingerprint, (upstream_incarnation,), now)
        return not was_quarantined and self.is_quarantined(service, fingerprint, now)

    def record_answer(self, service: str, fingerprint: str) -> bool:
        """
        Clear the strikes of a request that an upstream answered.

        Parameters
        ----------
        service, fingerprint : str
            Service and fingerprint of the request.

        Returns
        -------
        bool
            Whether there were any.
        """
        if not self._suspects:
            return False
        suspect = self._suspects.get((service, fingerprint))
        if suspect is None or not suspect.strikes:
            return False
        suspect.strikes.clear()
        return True

    def list_strikes(self, service: str, fingerprint: str) -> frozenset[str]:
        """Return the upstream incarnations that are recorded as strikes."""
        suspect = self._suspects.get((service, fingerprint))
        return frozenset() if suspect is None else frozenset(suspect.strikes)

    def clear_strikes(
        self, service: str, fingerprint: str, upstreams: Iterable[str], now: float
    ) -> bool:
        """
        Clear strikes that another instance has cleared, and don't record them later.

        Parameters
        ----------
        service, fingerprint : str
            Service and fingerprint of the request.
        upstreams : iterable of str
            Upstream incarnations that crashed before the request was answered.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether any of them was a strike, or wasn't known.
        """
        suspect = self._suspects.get((service, fingerprint))
        cleared: set[str] = set()
        if suspect is not None:
            cleared = suspect.strikes.intersection(upstreams)
            suspect.strikes -= cleared
        is_new = self._add(service, fingerprint, upstreams, now, is_strike=False)
        return is_new or bool(cleared)

    def count_strikes(self, service: str, fingerprint: str, now: float) -> int:
        """
        Count the strikes of a request.

        Parameters
        ----------
        service, fingerprint : str
            Service and fingerprint of the request.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Number of upstream incarnations that crashed.
        """
        if not self._suspects:
            return 0
        suspect = self._suspects.get((service, fingerprint))
        if suspect is None or self._is_expired(suspect, now):
            return 0
        return len(suspect.strikes)

    def is_quarantined(self, service: str, fingerprint: str, now: float) -> bool:
        """
        Return whether a request must be rejected.

        Parameters
        ----------
        service, fingerprint : str
            Service and fingerprint of the request.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether the fingerprint is in quarantine.
        """
        return self.remaining_s(service, fingerprint, now) > 0.0

    def remaining_s(self, service: str, fingerprint: str, now: float) -> float:
        """
        Compute the remaining quarantine of a request.

        Parameters
        ----------
        service, fingerprint : str
            Service and fingerprint of the request.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 if the fingerprint is not in quarantine.
        """
        if not self._suspects:
            return 0.0
        suspect = self._suspects.get((service, fingerprint))
        if suspect is None or len(suspect.strikes) < self.settings.quarantine_strikes:
            return 0.0
        return max(0.0, suspect.recorded_at + self.settings.quarantine_s - now)

    def merge(self, notice: QuarantineNotice, now: float) -> bool:
        """
        Add the crashes in a notice from another instance.

        Parameters
        ----------
        notice : QuarantineNotice
            Fingerprint and the upstream incarnations that crashed.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether any of the crashes was not recorded yet.
        """
        return self._add(notice.service, notice.fingerprint, notice.upstreams, now)

    def list_notices(
        self, now: float, max_age_s: float = inf
    ) -> list[QuarantineNotice]:
        """
        List the crashes that are to be sent to other instances.

        Parameters
        ----------
        now : float
            Present time in seconds.
        max_age_s : float
            Maximum time in seconds since the last crash was recorded.

        Returns
        -------
        list of QuarantineNotice
            One notice for each fingerprint with strikes, until `quarantine_s` after
            its last crash.
        """
        limit_s = min(max_age_s, self.settings.quarantine_s)
        return [
            QuarantineNotice(
                service=service,
                fingerprint=fingerprint,
                upstreams=sorted(suspect.strikes),
            )
            for (service, fingerprint), suspect in self._suspects.items()
            if suspect.strikes and now < suspect.recorded_at + limit_s
        ]

    def expire(self, now: float) -> None:
        """
        Remove crashes that are older than twice `quarantine_s`.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        while self._suspects:
            suspect = next(iter(self._suspects.values()))
            if not self._is_expired(suspect, now):
                return
            self._suspects.popitem(last=False)

    def _add(
        self,
        service: str,
        fingerprint: str,
        upstreams: Iterable[str],
        now: float,
        is_strike: bool = True,
    ) -> bool:
        self.expire(now)
        identity = (service, fingerprint)
        suspect = self._suspects.get(identity) or _Suspect()
        room = MAX_INCARNATIONS - len(suspect.crashed)
        added = sorted(set(upstreams) - suspect.crashed)[:room]
        if not added:
            return False
        suspect.crashed.update(added)
        if is_strike:
            suspect.strikes.update(added)
        elif identity in self._suspects:
            return True
        suspect.recorded_at = now
        self._suspects[identity] = suspect
        self._suspects.move_to_end(identity)
        if len(self._suspects) > MAX_FINGERPRINTS:
            self._evict()
        return True

    def _evict(self) -> None:
        limit = self.settings.quarantine_strikes
        for identity, suspect in self._suspects.items():
            if len(suspect.strikes) < limit:
                del self._suspects[identity]
                return
        self._suspects.popitem(last=False)

    def _is_expired(self, suspect: _Suspect, now: float) -> bool:
        return now >= suspect.recorded_at + 2.0 * self.settings.quarantine_s
