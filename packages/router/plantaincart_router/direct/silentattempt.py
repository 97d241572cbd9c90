"""Attempts that are watched for silence."""

from dataclasses import dataclass, field

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.silence import Wait
from plantaincart_core.upstreamload import UpstreamLoad

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.transport import AttemptProgress

__all__ = ["WatchedAttempt"]


@dataclass(slots=True)
class WatchedAttempt:
    """
    An attempt, what was expected of it, and how far it has come.

    Attributes
    ----------
    call : Call
        The request.
    record : UpstreamRecord
        Process of the upstream.
    expected_s : float
        Seconds that the answer was expected to take.
    load : UpstreamLoad
        Load of the upstream.
    in_flight : float
        Estimated requests of all instances there when this one was sent, without it.
    started_at : float
        Time in seconds at which the attempt began.
    is_silent : bool
        Whether an answer no longer seems likely.
    progress : AttemptProgress
        Written by the transport.
    """

    call: Call
    record: UpstreamRecord
    expected_s: float
    load: UpstreamLoad
    in_flight: float
    started_at: float
    is_silent: bool = False
    progress: AttemptProgress = field(default_factory=AttemptProgress)

    def measure(self, now: float) -> Wait | None:
        """Return the wait for the first byte, or None if nothing was sent."""
        sent_at = self.progress.sent_at
        if sent_at is None:
            return None
        ended_at = now
        if self.progress.started_at is not None:
            ended_at = self.progress.started_at
        return Wait(
            route=self.call.route.name,
            process=f"{self.record.id}/{self.record.born}",
            sent_at=sent_at,
            elapsed_s=ended_at - sent_at,
            expected_s=self.expected_s,
        )
