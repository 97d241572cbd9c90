"""Answers to recorded requests and to their resends."""

from plantaincart_core.verdict import (
    Reason,
    Refusal,
    RefusedError,
    Verdict,
    refuse_may_have_run,
)
from plantaincart_schema.generated.mesh import Answer, Request
from plantaincart_schema.generated.platform import Record

from plantaincart_router.delivery import AttemptResult

__all__ = ["JOIN_RETRY_S", "refuse_unknown", "relay_answer", "replay_answer"]

JOIN_RETRY_S = 1.0
REPLAYED_HEADER = ["idempotent-replayed", "true"]


def relay_answer(request: Request, result: AttemptResult, epoch: int) -> Answer:
    """
    Make the mesh answer of a request from the answer of an upstream.

    Parameters
    ----------
    request : Request
        The request.
    result : AttemptResult
        Whole answer and the upstream that sent it.
    epoch : int
        Epoch of the leadership.

    Returns
    -------
    Answer
        Answer with the verdict `ran`.
    """
    answer = result.answer
    return Answer(
        id=request.id,
        status=answer.status,
        headers=[[name, value] for name, value in answer.headers],
        body=answer.body,
        verdict=Verdict.ran,
        upstream=result.upstream,
        epoch=epoch,
    )


def replay_answer(request: Request, record: Record, epoch: int) -> Answer:
    """
    Make the mesh answer of a resend from the record of the first run.

    Parameters
    ----------
    request : Request
        The resend.
    record : Record
        Answered record.
    epoch : int
        Epoch of the leadership.

    Returns
    -------
    Answer
        The first answer, marked as replayed.

    Raises
    ------
    RefusedError
        If the body of the first answer isn't stored.
    """
    if not record.body_kept:
        detail = f"the request ran with status {record.status}; its body is gone"
        raise RefusedError(refuse_may_have_run(Reason.OUTCOME_UNKNOWN, detail))
    return Answer(
        id=request.id,
        status=record.status,
        headers=[*record.headers, REPLAYED_HEADER],
        body=record.body,
        verdict=Verdict.ran,
        upstream=record.upstream,
        epoch=epoch,
    )


def refuse_unknown(record: Record, now_wall: float) -> Refusal:
    """
    Reject a resend whose first run has no known outcome.

    Parameters
    ----------
    record : Record
        Record of the first run.
    now_wall : float
        Unix time in seconds.

    Returns
    -------
    Refusal
        Refusal with the verdict `may-have-run`. Until the deadline of the first run, an
        earlier leader may still send its outcome, so a resend is useful.
    """
    remaining_s = record.deadline_at - now_wall
    if remaining_s > 0:
        detail = "an upstream may still be running the request"
        retry_s = min(JOIN_RETRY_S, remaining_s)
        return refuse_may_have_run(Reason.IN_PROGRESS, detail, retry_s)
    detail = "the request may have run; its outcome is not known"
    return refuse_may_have_run(Reason.OUTCOME_UNKNOWN, detail)
