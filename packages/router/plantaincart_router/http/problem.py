"""Rejections as problem details (RFC 9457) with the verdict on the request."""

from math import ceil

from plantaincart_core.verdict import Reason, Refusal, Verdict
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.upstream import Problem

from plantaincart_router.http.message import Header, HttpAnswer

__all__ = [
    "HANDLER_FAILED",
    "PROBLEM_TYPE_PREFIX",
    "REQUEST_HEADER",
    "VERDICT_HEADER",
    "render_problem",
]

PROBLEM_TYPE_PREFIX = "urn:plantaincart:problem:"
REQUEST_HEADER = "plantaincart-request"
VERDICT_HEADER = "plantaincart-verdict"


def render_problem(refusal: Refusal, request_id: str = "") -> HttpAnswer:
    """
    Render a refusal as a problem document.

    Parameters
    ----------
    refusal : Refusal
        Status, reason, detail, verdict and delay before a retry.
    request_id : str
        Request id; empty if none has been assigned yet.

    Returns
    -------
    HttpAnswer
        Answer of type application/problem+json. It has a Retry-After header in
        whole seconds, at least 1, if the refusal has a retry delay.

    References
    ----------
    RFC 9457, Problem Details for HTTP APIs; RFC 9110, section 10.2.3.
    """
    problem = Problem(
        type=PROBLEM_TYPE_PREFIX + refusal.reason,
        title=refusal.reason.replace("-", " ").capitalize(),
        status=refusal.status,
        detail=refusal.detail,
        verdict=refusal.verdict,
        request=request_id,
        retry_after_s=refusal.retry_after_s,
    )
    headers: list[Header] = [
        ("content-type", "application/problem+json"),
        (VERDICT_HEADER, refusal.verdict.value),
    ]
    if request_id:
        headers.append((REQUEST_HEADER, request_id))
    if refusal.retry_after_s > 0.0:
        headers.append(("retry-after", str(max(1, ceil(refusal.retry_after_s)))))
    return HttpAnswer(refusal.status, tuple(headers), encode_json(problem))


HANDLER_FAILED = render_problem(
    Refusal(
        status=500,
        reason=Reason.OUTCOME_UNKNOWN,
        detail="the handler of the request failed",
        verdict=Verdict.may_have_run,
        retry_after_s=0.0,
    )
)
