"""Header fields between an instance and the one that relays its requests."""

from dataclasses import dataclass
from enum import StrEnum
from math import isfinite

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import Verdict

from plantaincart_router.http.message import HttpAnswer, HttpRequest, find_header
from plantaincart_router.http.problem import VERDICT_HEADER

__all__ = [
    "RelayOutcome",
    "RelayedAttempt",
    "read_outcome",
    "read_relayed",
    "write_outcome",
    "write_relayed",
]

PREFIX = "plantaincart-relay-"
UPSTREAM_HEADER = f"{PREFIX}upstream"
BORN_HEADER = f"{PREFIX}born"
ADDRESS_HEADER = f"{PREFIX}address"
REMAINING_HEADER = f"{PREFIX}remaining-s"
IDEMPOTENT_HEADER = f"{PREFIX}idempotent"
OUTCOME_HEADER = f"{PREFIX}outcome"
DETAIL_HEADER = f"{PREFIX}detail"
OUTCOME_STATUS = 503


class RelayOutcome(StrEnum):
    """What became of a relayed request."""

    ANSWERED = "answered"
    # The relay couldn't connect to the upstream; nothing was sent to it.
    UNREACHED = "unreached"
    # The relay doesn't send requests to this upstream; nothing was sent.
    DECLINED = "declined"
    # The relay can't send requests to any upstream; nothing was sent.
    UNAVAILABLE = "unavailable"
    # The upstream may have run the request.
    LOST = "lost"
    TIMED_OUT = "timed-out"
    CLOSED_AT_ONCE = "closed-at-once"


@dataclass(frozen=True, kw_only=True, slots=True)
class RelayedAttempt:
    """
    What an instance asks of a relay.

    Parameters
    ----------
    upstream : str
        Id of the only upstream that may run the request.
    born : int
        Start of its process in Unix milliseconds.
    address : str
        Its host and port.
    remaining_s : float
        Remaining time in seconds until the request's deadline.
    idempotent : bool
        Whether the request may run more than once.
    """

    upstream: str
    born: int
    address: str
    remaining_s: float
    idempotent: bool

    def names(self, record: UpstreamRecord) -> bool:
        """Whether a record is that of the upstream, with the same process."""
        address = f"{record.host}:{record.port}"
        return (record.id, record.born, address) == (
            self.upstream,
            self.born,
            self.address,
        )


def write_relayed(
    request: HttpRequest, record: UpstreamRecord, remaining_s: float, idempotent: bool
) -> HttpRequest:
    """
    Add the fields for the relay to a request for an upstream.

    Parameters
    ----------
    request : HttpRequest
        Request for the upstream. Fields of the same names are removed.
    record : UpstreamRecord
        The upstream.
    remaining_s : float
        Remaining time in seconds until the request's deadline.
    idempotent : bool
        Whether the request may run more than once.

    Examples
    --------
    >>> record = UpstreamRecord(
    ...     id="u1", born=5, service="desk", host="127.0.0.1", port=80,
    ...     data_centre="a", slots=2, ready=True, warmup_left_s=0.0)
    >>> relayed = write_relayed(HttpRequest("GET", "/"), record, 0.5, True)
    >>> attempt, request = read_relayed(relayed)
    >>> attempt.names(record), attempt.remaining_s, request.headers
    (True, 0.5, ())
    """
    fields = (
        (UPSTREAM_HEADER, record.id),
        (BORN_HEADER, str(record.born)),
        (ADDRESS_HEADER, f"{record.host}:{record.port}"),
        (REMAINING_HEADER, f"{remaining_s:.3f}"),
        (IDEMPOTENT_HEADER, str(int(idempotent))),
    )
    plain = _remove_fields(request)
    return HttpRequest(plain.method, plain.target, plain.headers + fields, plain.body)


def read_relayed(request: HttpRequest) -> tuple[RelayedAttempt, HttpRequest] | None:
    """
    Read the fields for the relay.

    Parameters
    ----------
    request : HttpRequest
        Request as received by the relay.

    Returns
    -------
    tuple of RelayedAttempt and HttpRequest, or None
        What is asked, and the request for the upstream. None if a field is missing or
        invalid.
    """
    headers = request.headers
    try:
        attempt = RelayedAttempt(
            upstream=find_header(headers, UPSTREAM_HEADER) or "",
            born=int(find_header(headers, BORN_HEADER) or ""),
            address=find_header(headers, ADDRESS_HEADER) or "",
            remaining_s=float(find_header(headers, REMAINING_HEADER) or ""),
            idempotent=find_header(headers, IDEMPOTENT_HEADER) == "1",
        )
    except ValueError:
        return None
    if not isfinite(attempt.remaining_s):
        return None
    return attempt, _remove_fields(request)


def write_outcome(
    outcome: RelayOutcome, answer: HttpAnswer | None = None, detail: str = ""
) -> HttpAnswer:
    """
    Make the relay's answer.

    Parameters
    ----------
    outcome : RelayOutcome
        What became of the request.
    answer : HttpAnswer, optional
        Answer of the upstream, if there is one.
    detail : str
        Description of the failure, if there is none.
    """
    if answer is None:
        safe = detail.encode("ascii", "replace").decode().replace("\n", " ")
        detail_field = (DETAIL_HEADER, safe.strip())
        fields = ((OUTCOME_HEADER, outcome.value), detail_field)
        return HttpAnswer(OUTCOME_STATUS, fields)
    others = tuple(field for field in answer.headers if field[0] != OUTCOME_HEADER)
    headers = ((OUTCOME_HEADER, outcome.value), *others)
    return HttpAnswer(answer.status, headers, answer.body)


def read_outcome(answer: HttpAnswer) -> tuple[RelayOutcome, HttpAnswer, str]:
    """
    Read a relay's answer.

    Parameters
    ----------
    answer : HttpAnswer
        Answer as received.

    Returns
    -------
    tuple of RelayOutcome, HttpAnswer and str
        What became of the request, the upstream's answer if it was answered, and the
        description of a failure. An answer that the relay's server made itself counts
        as lost unless it carries the verdict that the request wasn't run.
    """
    text = find_header(answer.headers, OUTCOME_HEADER)
    detail = find_header(answer.headers, DETAIL_HEADER) or f"status {answer.status}"
    if text is None:
        verdict = find_header(answer.headers, VERDICT_HEADER)
        is_not_run = verdict == Verdict.not_run.value
        return (
            RelayOutcome.UNAVAILABLE if is_not_run else RelayOutcome.LOST,
            answer,
            detail,
        )
    try:
        outcome = RelayOutcome(text)
    except ValueError:
        outcome = RelayOutcome.LOST
    headers = tuple(field for field in answer.headers if field[0] != OUTCOME_HEADER)
    return outcome, HttpAnswer(answer.status, headers, answer.body), detail


def _remove_fields(request: HttpRequest) -> HttpRequest:
    headers = tuple(
        field for field in request.headers if not field[0].startswith(PREFIX)
    )
    return HttpRequest(request.method, request.target, headers, request.body)
