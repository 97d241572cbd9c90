"""Grants of hash slots to an upstream, as tracked by the leader of the shard."""

from collections.abc import Collection
from dataclasses import dataclass, replace
from math import inf

from plantaincart_schema.generated.settings import GrantSettings
from plantaincart_schema.generated.upstream import GrantAnswer, GrantRequest

from plantaincart_core.clockreading import ClockReading
from plantaincart_core.exception import MissingReadingError
from plantaincart_core.fencingtoken import FencingToken

__all__ = ["ClockReading", "FencingToken", "UpstreamGrants"]


@dataclass(frozen=True)
class _SentGrant:
    """A grant that may be valid until `expires_at`; slots are None if unknown."""

    slots: frozenset[int] | None
    expires_at: float


@dataclass(frozen=True)
class _PreparedGrant:
    request: GrantRequest
    incarnation: str
    usable_until: float


class UpstreamGrants:
    """
    The grants of one upstream, tracked by the leader of its shard.

    Parameters
    ----------
    settings : GrantSettings
        Durations of grants.
    earlier_grants_expire_at : float
        Time in seconds until which a grant of an earlier leader may be valid; see
        `plantaincart_core.takeover.find_earlier_grant_expiry`.

    Notes
    -----
    The expiry of a grant is a reading of the upstream's own clock plus the grant
    duration, so that a renewal isn't valid for longer because it waited in the
    buffer of a frozen upstream. For its own use of a grant, the leader counts the
    duration from before it requested the reading; for the time until which the
    upstream may still own slots, from after it received the reading.

    A reading is valid only on the connection on which it was received: on another
    connection the same address may answer after a restart of the machine, with a
    clock that has restarted. See `discard_reading`.
    """

    def __init__(
        self, settings: GrantSettings, *, earlier_grants_expire_at: float
    ) -> None:
        self._settings = settings
        self._reading: ClockReading | None = None
        self._incarnation = ""
        self._sent = {FencingToken(-1, -1): _SentGrant(None, earlier_grants_expire_at)}
        self._prepared: list[_PreparedGrant] = []
        self._accepted: GrantRequest | None = None
        self._usable_until = -inf
        self._last_prepared_slots: frozenset[int] = frozenset()
        self._granted_slots: frozenset[int] = frozenset()

    @property
    def has_reading(self) -> bool:
        """Whether the upstream's clock has been read on the present connection."""
        return self._reading is not None

    @property
    def incarnation(self) -> str:
        """Upstream incarnation of the latest reading; empty before the first."""
        return self._incarnation

    @property
    def granted_slots(self) -> frozenset[int]:
        """Slots of the last accepted grant that the last prepared one contains too."""
        return self._granted_slots

    @property
    def fence(self) -> FencingToken:
        """Fencing token of the last accepted grant; (0, 0) if there is none."""
        if self._accepted is None:
            return FencingToken(0, 0)
        return _get_fence(self._accepted)

    @property
    def usable_until(self) -> float:
        """Time in seconds until which requests may be sent under the accepted grant."""
        return self._usable_until

    @property
    def expires_at(self) -> float:
        """Time in seconds from which no grant of slots to the upstream is valid."""
        return max(
            (
                sent.expires_at
                for sent in self._sent.values()
                if sent.slots is None or sent.slots
            ),
            default=-inf,
        )

    def record_reading(self, reading: ClockReading, incarnation: str) -> bool:
        """
        Record a reading of the upstream's clock; ignore it if older than the last.

        Parameters
        ----------
        reading : ClockReading
            The reading.
        incarnation : str
            Upstream incarnation whose clock was read.

        Returns
        -------
        bool
            True if the upstream has restarted since the previous reading.
        """
        if self._reading is not None and reading.sent_at < self._reading.sent_at:
            return False
        changed = self._incarnation not in ("", incarnation)
        if changed:
            self._prepared.clear()
            self._stop_using_grant()
        self._reading = reading
        self._incarnation = incarnation
        return changed

    def discard_reading(self) -> None:
        """Discard the reading; must be called when its connection has ended."""
        self._reading = None
        self._prepared.clear()

    def prepare(
        self,
        service: str,
        epoch: int,
        sequence: int,
        slots: Collection[int],
        now: float,
        *,
        leadership_expires_at: float = inf,
    ) -> GrantRequest:
        """
        Prepare a grant or its renewal; it is treated as sent from now on.

        Parameters
        ----------
        service : str
            Name of the service.
        epoch, sequence : int
            Fencing token; `sequence` increases with each change of slots.
        slots : collection of int
            Slots that the upstream is to own.
        now : float
            Time in seconds.
        leadership_expires_at : float, default=inf
            Time in seconds at which the leadership ends unless its lease or the
            successors' promises are renewed; the grant expires no later.

        Returns
        -------
        GrantRequest
            Request to be sent on the connection on which the clock was read.

        Raises
        ------
        MissingReadingError
            If the upstream's clock hasn't been read on this connection.
        """
        reading = self._reading
        if reading is None:
            raise MissingReadingError(service)
        self._discard_expired(now)
        ttl_s = min(self._settings.ttl_s, leadership_expires_at - reading.received_at)
        request = GrantRequest(
            service=service,
            epoch=epoch,
            sequence=sequence,
            slots=sorted(slots),
            expires_at_ms=reading.clock_ms + int(max(0.0, ttl_s) * 1000),
        )
        self._record_prepared(request, reading, ttl_s)
        return request

    def record_accepted(self, request: GrantRequest, answer: GrantAnswer) -> None:
        """
        Record a grant that the upstream accepted.

        Parameters
        ----------
        request : GrantRequest
            The grant, as prepared.
        answer : GrantAnswer
            The upstream's answer; ignored unless its incarnation is the one whose clock
            was read for this grant.
        """
        prepared = self._find_prepared(request)
        if prepared is None or answer.incarnation != prepared.incarnation:
            return
        fence = _get_fence(request)
        if fence < self.fence:
            return
        if fence > self.fence:
            self._usable_until = -inf
        self._accepted = request
        self._granted_slots = self._last_prepared_slots.intersection(request.slots)
        self._usable_until = max(self._usable_until, prepared.usable_until)
        for earlier_fence in [other for other in self._sent if other < fence]:
            del self._sent[earlier_fence]

    def record_refused(self) -> None:
        """Stop using the accepted grant because the upstream refused a grant."""
        self._stop_using_grant()

    def may_dispatch(self, slot: int | None, now: float) -> bool:
        """
        Return whether the upstream certainly has a valid grant for a slot.

        Parameters
        ----------
        slot : int or None
            Slot of the request; None for a service without keys.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True if a request may be sent.
        """
        if now >= self._usable_until:
            return False
        return slot is None or slot in self._granted_slots

    def has_expired(self, now: float) -> bool:
        """Return whether certainly no grant of slots to the upstream is valid."""
        return now >= self.expires_at

    def is_released(self, slot: int, now: float) -> bool:
        """
        Return whether the upstream certainly has no valid grant for a slot.

        Parameters
        ----------
        slot : int
            The slot.
        now : float
            Time in seconds.

        Returns
        -------
        bool
            True if each grant that contains the slot has expired or was replaced by a
            later grant that the upstream accepted.
        """
        return all(
            now >= sent.expires_at
            or (sent.slots is not None and slot not in sent.slots)
            for sent in self._sent.values()
        )

    def _record_prepared(
        self, request: GrantRequest, reading: ClockReading, ttl_s: float
    ) -> None:
        fence = _get_fence(request)
        self._last_prepared_slots = frozenset(request.slots)
        self._granted_slots &= self._last_prepared_slots
        margin_s = self._settings.margin_s
        sent = _SentGrant(
            self._last_prepared_slots, reading.received_at + ttl_s + margin_s
        )
        earlier = self._sent.get(fence)
        if earlier is not None and earlier.expires_at > sent.expires_at:
            sent = replace(sent, expires_at=earlier.expires_at)
        self._sent[fence] = sent
        usable_until = reading.sent_at + ttl_s - margin_s
        self._prepared.append(_PreparedGrant(request, self._incarnation, usable_until))

    def _find_prepared(self, request: GrantRequest) -> _PreparedGrant | None:
        matching = (grant for grant in self._prepared if grant.request == request)
        return next(matching, None)

    def _discard_expired(self, now: float) -> None:
        self._sent = {
            fence: sent for fence, sent in self._sent.items() if sent.expires_at > now
        }
        self._prepared = [grant for grant in self._prepared if grant.usable_until > now]

    def _stop_using_grant(self) -> None:
        self._accepted = None
        self._granted_slots = frozenset()
        self._usable_until = -inf


def _get_fence(request: GrantRequest) -> FencingToken:
    return FencingToken(request.epoch, request.sequence)
