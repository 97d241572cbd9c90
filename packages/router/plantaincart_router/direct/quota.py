"""Limits on requests that upstreams have named, as this instance knows them."""

from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.namedlimit import NamedLimit, NamedLimits

from plantaincart_router.log import write_event

__all__ = ["UpstreamQuotas"]


class UpstreamQuotas:
    """Limits that upstreams name in their answers."""

    def __init__(self) -> None:
        self.limits = NamedLimits()

    def record_answer(
        self,
        record: UpstreamRecord,
        limit_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> None:
        """
        Record what an answer says about its upstream's limit.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        limit_per_s : float or None
            Limit in requests per second; None if the answer names none.
        sent_at : float
            Time in seconds at which the request was sent.
        now : float
            Present time in seconds.
        """
        heard_at = sent_at if limit_per_s is None else now
        statement = NamedLimit(per_s=limit_per_s, heard_at=heard_at)
        if self.limits.record((record.id, record.born), statement):
            write_event("upstream_limit", upstream=record.id, per_s=limit_per_s)
