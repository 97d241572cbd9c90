"""Refusals of requests, with the verdict whether the request may have run."""

from dataclasses import dataclass
from enum import StrEnum

from plantaincart_schema.generated.mesh import Verdict

from plantaincart_core.exception import RefusedError

__all__ = [
    "Reason",
    "Refusal",
    "RefusedError",
    "Verdict",
    "refuse_may_have_run",
    "refuse_not_run",
]


class Reason(StrEnum):
    """Problem type of a refusal."""

    NO_ROUTE = "no-route"
    BAD_REQUEST = "bad-request"
    KEY_MISSING = "key-missing"
    ACCOUNT_UNKNOWN = "account-unknown"
    IDEMPOTENCY_KEY_MISSING = "idempotency-key-missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    DEADLINE_PASSED = "deadline-passed"
    QUEUE_FULL = "queue-full"
    RATE_LIMITED = "rate-limited"
    NO_LEADER = "no-leader"
    NO_OWNER = "no-owner"
    LEADER_LOST = "leader-lost"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_LOST = "upstream-lost"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    UPSTREAM_MALFORMED = "upstream-malformed"
    QUARANTINED = "quarantined"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    SHUTTING_DOWN = "shutting-down"
    NOT_LEADER = "not-leader"
    TOO_MANY_REQUESTS_IN_FLIGHT = "too-many-requests-in-flight"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TOO_LARGE = "head-too-large"
    TIMEOUT = "timeout"


_STATUSES = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.KEY_MISSING: 400,
    Reason.ACCOUNT_UNKNOWN: 401,
    Reason.IDEMPOTENCY_KEY_MISSING: 400,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.DEADLINE_TOO_SHORT: 503,
    Reason.DEADLINE_PASSED: 504,
    Reason.QUEUE_FULL: 503,
    Reason.RATE_LIMITED: 429,
    Reason.NO_LEADER: 503,
    Reason.NO_OWNER: 503,
    Reason.LEADER_LOST: 502,
    Reason.UPSTREAM_UNREACHABLE: 502,
    Reason.UPSTREAM_LOST: 502,
    Reason.UPSTREAM_TIMEOUT: 504,
    Reason.UPSTREAM_MALFORMED: 502,
    Reason.QUARANTINED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.SHUTTING_DOWN: 503,
    Reason.NOT_LEADER: 503,
    Reason.TOO_MANY_REQUESTS_IN_FLIGHT: 503,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.TIMEOUT: 408,
}


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """
    Error answer that the router generates itself.

    Parameters
    ----------
    status : int
        HTTP status code.
    reason : Reason
        Problem type.
    detail : str
        Explanation for the caller.
    verdict : Verdict
        Whether the request may have run.
    retry_after_s : float
        Seconds after which a resend may succeed; 0 if a resend can't succeed.
    """

    status: int
    reason: Reason
    detail: str
    verdict: Verdict = Verdict.not_run
    retry_after_s: float = 0.0


def refuse_not_run(reason: Reason, detail: str, retry_after_s: float = 0.0) -> Refusal:
    """
    Create the refusal of a request that no upstream has run or can still run.

    Parameters
    ----------
    reason : Reason
        Problem type, which determines the status.
    detail : str
        Explanation for the caller.
    retry_after_s : float
        Seconds after which a resend may succeed; 0 if a resend can't succeed.

    Returns
    -------
    Refusal
        Refusal with the verdict `not-run`.

    Examples
    --------
    >>> refusal = refuse_not_run(Reason.QUEUE_FULL, "512 requests wait", 0.5)
    >>> refusal.status, str(refusal.verdict)
    (503, 'not-run')
    """
    return Refusal(
        status=_STATUSES[reason],
        reason=reason,
        detail=detail,
        verdict=Verdict.not_run,
        retry_after_s=retry_after_s,
    )


def refuse_may_have_run(
    reason: Reason, detail: str, retry_after_s: float = 0.0
) -> Refusal:
    """
    Create the refusal of a request that an upstream may have run or may still run.

    Parameters
    ----------
    reason : Reason
        Problem type, which determines the status.
    detail : str
        Explanation for the caller.
    retry_after_s : float
        Seconds after which a resend may succeed; 0 if a resend can't succeed.

    Returns
    -------
    Refusal
        Refusal with the verdict `may-have-run`.
    """
    return Refusal(
        status=_STATUSES[reason],
        reason=reason,
        detail=detail,
        verdict=Verdict.may_have_run,
        retry_after_s=retry_after_s,
    )
