"""Conversion of mesh answers to HTTP answers for callers."""

from plantaincart_core.verdict import Reason, Refusal
from plantaincart_schema.generated.mesh import Answer, Request

from plantaincart_router.http.message import HttpAnswer
from plantaincart_router.http.problem import (
    REQUEST_HEADER,
    VERDICT_HEADER,
    render_problem,
)
from plantaincart_router.requestparser import strip_headers

__all__ = ["FIRST_STATUS", "LAST_STATUS", "make_refusal_answer", "render_answer"]

FIRST_STATUS = 200
LAST_STATUS = 599
_OWN_HEADERS = frozenset((VERDICT_HEADER, REQUEST_HEADER))


def make_refusal_answer(request: Request, refusal: Refusal) -> Answer:
    """
    Make the mesh answer of a rejected request.

    Parameters
    ----------
    request : Request
        Request that is rejected.
    refusal : Refusal
        Status, reason, detail, verdict and seconds until a resend is useful.

    Returns
    -------
    Answer
        Answer without headers and body.
    """
    return Answer(
        id=request.id,
        status=refusal.status,
        headers=[],
        body=b"",
        verdict=refusal.verdict,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
    )


def render_answer(answer: Answer) -> HttpAnswer:
    """
    Render a mesh answer as an HTTP answer for the caller.

    Parameters
    ----------
    answer : Answer
        Answer of an upstream, or a refusal if it has a reason.

    Returns
    -------
    HttpAnswer
        Answer with the verdict and the request id in its headers.
    """
    if answer.reason:
        return render_problem(_read_refusal(answer), answer.id)
    headers = strip_headers(
        ((name.lower(), value) for name, value in answer.headers), _OWN_HEADERS
    )
    headers.append((VERDICT_HEADER, answer.verdict.value))
    headers.append((REQUEST_HEADER, answer.id))
    return HttpAnswer(answer.status, tuple(headers), answer.body)


def _read_refusal(answer: Answer) -> Refusal:
    try:
        reason = Reason(answer.reason)
    except ValueError:
        reason = Reason.OUTCOME_UNKNOWN
    return Refusal(
        status=answer.status,
        reason=reason,
        detail=answer.detail,
        verdict=answer.verdict,
        retry_after_s=answer.retry_after_s,
    )
