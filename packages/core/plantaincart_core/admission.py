"""Whether a request is worth sending, and when its caller should come back."""

from dataclasses import dataclass

__all__ = ["Admission", "Expectation", "decide_admission"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Expectation:
    """
    What a request can expect at the upstream that would run it.

    Parameters
    ----------
    wait_s : float
        Seconds until a slot is free.
    work_s : float
        Seconds of its work there.
    left_s : float
        Seconds until the caller or the route gives up.
    target_s : float
        Seconds within which the answer has its full value.
    """

    wait_s: float
    work_s: float
    left_s: float
    target_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """
    Decision on one request.

    Parameters
    ----------
    admitted : bool
        Whether it should be sent.
    bound_s : float
        Longest expected time until the answer that is admitted.
    retry_after_s : float
        Seconds until the wait is expected to be short enough; 0 if admitted.
    """

    admitted: bool
    bound_s: float
    retry_after_s: float = 0.0


def decide_admission(expected: Expectation, wait_share: float) -> Admission:
    """
    Admit a request if its expected wait is short enough for its rank.

    Parameters
    ----------
    expected : Expectation
        Estimates for the request.
    wait_share : float
        Longest expected time until the answer, as a part of the target.

    Returns
    -------
    Admission
        Decision.

    Notes
    -----
    A request that finds a free slot is always admitted as long as there is time for
    its work. Less urgent kinds get a smaller share, so that they leave the last
    places in the queue to urgent ones.

    Examples
    --------
    >>> busy = Expectation(wait_s=0.5, work_s=0.2, left_s=2.0, target_s=0.4)
    >>> decide_admission(busy, wait_share=1.0)
    Admission(admitted=False, bound_s=0.4, retry_after_s=0.3)
    >>> decide_admission(busy, wait_share=2.0).admitted
    True
    """
    bound_s = min(wait_share * expected.target_s, expected.left_s)
    if expected.wait_s <= 0.0:
        admitted = expected.work_s * 0.5 <= expected.left_s
        return Admission(admitted=admitted, bound_s=bound_s)
    if expected.wait_s + expected.work_s <= bound_s:
        return Admission(admitted=True, bound_s=bound_s)
    excess = expected.wait_s - max(0.0, bound_s - expected.work_s)
    return Admission(admitted=False, bound_s=bound_s, retry_after_s=round(excess, 3))
