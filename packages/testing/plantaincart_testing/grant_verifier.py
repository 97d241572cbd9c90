"""Grant of an upstream and the check of requests against it."""

from plantaincart_schema.generated.upstream import GrantAnswer, GrantRequest

__all__ = ["GrantVerifier"]


class GrantVerifier:
    """
    Holds the latest grant of an upstream and checks requests against it.

    Parameters
    ----------
    incarnation : str
        Incarnation of the upstream.
    keyed : bool
        Whether a request must carry a granted hash slot.

    Notes
    -----
    Times are milliseconds on the upstream's own monotonic clock.

    Examples
    --------
    >>> verifier = GrantVerifier("i", keyed=True)
    >>> grant = GrantRequest(
    ...     service="s", epoch=2, sequence=1, slots=[5], expires_at_ms=100
    ... )
    >>> verifier.offer(grant, clock_ms=50).accepted
    True
    >>> verifier.find_rejection_reason("s", 2, 5, clock_ms=99)
    >>> verifier.find_rejection_reason("s", 2, 5, clock_ms=100)
    'grant expired'
    """

    def __init__(self, incarnation: str, keyed: bool) -> None:
        self._incarnation = incarnation
        self._keyed = keyed
        self._grant: GrantRequest | None = None
        self._slots: frozenset[int] = frozenset()

    def offer(self, grant: GrantRequest, clock_ms: int) -> GrantAnswer:
        """
        Accept a grant unless it is stale or expired.

        Parameters
        ----------
        grant : GrantRequest
            Grant sent by a leader.
        clock_ms : int
            Current time in milliseconds.

        Returns
        -------
        GrantAnswer
            Not accepted if the fencing token is lower than that of the current
            grant, or if the grant has expired.
        """
        accepted = grant.expires_at_ms > clock_ms and (
            self._grant is None
            or _get_fencing_token(grant) >= _get_fencing_token(self._grant)
        )
        if accepted:
            self._grant = grant
            self._slots = frozenset(grant.slots)
        return self.describe(clock_ms, accepted)

    def describe(self, clock_ms: int, accepted: bool = True) -> GrantAnswer:
        """
        Describe the current grant.

        Parameters
        ----------
        clock_ms : int
            Current time in milliseconds.
        accepted : bool
            Whether the last offered grant was accepted.

        Returns
        -------
        GrantAnswer
            Clock, incarnation and fencing token.
        """
        epoch, sequence = (
            (0, 0) if self._grant is None else _get_fencing_token(self._grant)
        )
        return GrantAnswer(
            accepted=accepted,
            clock_ms=clock_ms,
            incarnation=self._incarnation,
            epoch=epoch,
            sequence=sequence,
        )

    def find_rejection_reason(
        self, service: str, epoch: int, slot: int, clock_ms: int
    ) -> str | None:
        """
        Find the reason to reject a request.

        Parameters
        ----------
        service : str
            Service in the headers of the request.
        epoch : int
            Epoch of the request's fencing token.
        slot : int
            Hash slot of the request's key.
        clock_ms : int
            Current time in milliseconds.

        Returns
        -------
        str or None
            Reason to reject the request, or None if it may be executed.
        """
        grant = self._grant
        if grant is None:
            return "no grant"
        if grant.expires_at_ms <= clock_ms:
            return "grant expired"
        if (grant.service, grant.epoch) != (service, epoch):
            return f"grant is for {grant.service} epoch {grant.epoch}"
        if self._keyed and slot not in self._slots:
            return f"slot {slot} not granted"
        return None


def _get_fencing_token(grant: GrantRequest) -> tuple[int, int]:
    return grant.epoch, grant.sequence
