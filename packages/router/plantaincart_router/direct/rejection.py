"""Rejections of requests that no upstream is sent."""

from collections.abc import Sequence
from random import Random
from time import monotonic

from plantaincart_core.admission import Admission, LatencyEstimate
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.returnspread import ReturnSpread
from plantaincart_core.verdict import (
    Reason,
    Refusal,
    RefusedError,
    refuse_may_have_run,
)

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.transport import AttemptTransport
from plantaincart_router.direct.view import SystemView

__all__ = ["RejectionFactory"]

# Minimum delay in seconds after which callers retry requests for unowned keys.
MIN_UNOWNED_RETRY_S = 0.5
# Maximum number of upstreams that the text of a rejection names.
MAX_LISTED_UPSTREAMS = 3
# Share of the time left for which callers wait before they return.
RETURN_SHARE = 1.0 / 3.0


class RejectionFactory:
    """
    Makes the errors that reject requests, with the time at which to come back.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    transport : AttemptTransport
        Tells to which upstreams connecting failed recently.
    """

    def __init__(
        self, settings: DirectSettings, view: SystemView, transport: AttemptTransport
    ) -> None:
        self._settings = settings
        self._view = view
        self._transport = transport
        self._random = Random()
        self._spread = ReturnSpread()

    def refuse_unserved(
        self, call: Call, reason: Reason, detail: str, retry_after_s: float
    ) -> RefusedError:
        """
        Return the error that rejects a request.

        Parameters
        ----------
        call : Call
            The request. If an earlier attempt may have run, the verdict says so.
        reason : Reason
            Reason of the rejection.
        detail : str
            Text for the log.
        retry_after_s : float
            Seconds after which a retry may succeed. A random delay is added, so that
            callers don't retry all at once.
        """
        if call.may_have_run:
            return RefusedError(refuse_may_have_run(Reason.UPSTREAM_LOST, detail))
        settings = self._settings.admission
        delayed_s = retry_after_s * (1.0 + 0.5 * self._random.random())
        retry_s = min(max(delayed_s, settings.least_retry_s), settings.most_retry_s)
        refusal = Refusal(
            status=503, reason=reason, detail=detail, retry_after_s=retry_s
        )
        return RefusedError(refusal)

    def refuse_backed_off(
        self, call: Call, records: Sequence[UpstreamRecord]
    ) -> RefusedError:
        """
        Return the error for a request whose upstreams have all asked for a pause.

        Parameters
        ----------
        call : Call
            The request.
        records : sequence of UpstreamRecord
            Upstreams that could run it; at least one.
        """
        backoffs, now = self._view.backoffs, monotonic()
        remaining_s = min(backoffs.remaining_s(record, now) for record in records)
        names = ", ".join(record.id for record in records[:MAX_LISTED_UPSTREAMS])
        detail = f"no request for {remaining_s:.1f} s as requested by {names}"
        return self.refuse_unserved(call, Reason.QUEUE_FULL, detail, remaining_s)

    def refuse_unreachable(
        self, call: Call, record: UpstreamRecord, detail: str
    ) -> RefusedError:
        """
        Return the error for a key whose owner is unreachable.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Owner of the request's key.
        detail : str
            Text for the log.
        """
        retry_delay_s = self._transport.retry_delay_s(record, monotonic())
        return self.refuse_unserved(
            call,
            Reason.UPSTREAM_UNREACHABLE,
            detail,
            max(retry_delay_s, MIN_UNOWNED_RETRY_S),
        )

    def refuse_unowned(
        self, call: Call, key: int, unowned_s: float, expected_s: float | None
    ) -> RefusedError:
        """
        Return the error for a key without an owner.

        Parameters
        ----------
        call : Call
            The request.
        key : int
            Its key.
        unowned_s : float
            Seconds for which the key has had no owner.
        expected_s : float or None
            Seconds until it is expected to have one; None if that isn't known.
        """
        detail = f"no owner for key {key}, for {unowned_s:.1f} s"
        if expected_s is None:
            times = self._settings.coordination
            # Longest time until the grant of an unreachable owner has expired.
            max_grant_s = times.hold_s + times.call_timeout_s + times.hold_margin_s
            expected_s = max_grant_s - unowned_s
        else:
            detail += f", expected in {expected_s:.1f} s"
        return self.refuse_unserved(
            call, Reason.NO_OWNER, detail, max(expected_s, MIN_UNOWNED_RETRY_S)
        )

    def refuse_lapsed(self, call: Call, owner: str) -> RefusedError:
        """
        Return the error for a key whose grant nobody renews.

        Parameters
        ----------
        call : Call
            The request.
        owner : str
            Upstream that had the grant.
        """
        expected_s = self._view.lapses.estimate_wait_s(monotonic())
        detail = (
            f"the grant of {owner} has lapsed and no coordinator is heard, expected in "
            f"{expected_s:.1f} s"
        )
        return self.refuse_unserved(
            call, Reason.NO_OWNER, detail, max(expected_s, MIN_UNOWNED_RETRY_S)
        )

    def refuse_overloaded(
        self,
        call: Call,
        record: UpstreamRecord,
        expected: LatencyEstimate,
        admission: Admission,
    ) -> RefusedError:
        """
        Return the error for a request that would wait too long.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Upstream that would have run it.
        expected : LatencyEstimate
            Expected times at that upstream.
        admission : Admission
            The decision not to send it.
        """
        loads, now = self._view.loads, monotonic()
        load = loads.get(record.id)
        detail = (
            f"upstream {record.id}: expected wait {expected.wait_s:.2f} s and work "
            f"{expected.work_s:.2f} s exceed {admission.max_latency_s:.2f} s "
            f"(own {load.in_flight}, slowness {load.slowness:.1f})"
        )
        retry_after_s = admission.retry_after_s
        if loads.has_standing_queue(record.id, now):
            # An overload that has lasted for a while is expected to last as long again.
            # Callers that return earlier only delay others.
            full_s = load.measure_full_s(now, loads.settings)
            retry_after_s = max(retry_after_s, full_s)
        if not self._view.room.share.is_divided(record.service):
            return self.refuse_unserved(call, Reason.QUEUE_FULL, detail, retry_after_s)
        return self.refuse_short(call, detail, retry_after_s, expected.work_s)

    def refuse_full(
        self, call: Call, record: UpstreamRecord, waited_s: float, waiting_s: float
    ) -> RefusedError:
        """
        Return the error for a request that gets no room in time.

        Parameters
        ----------
        call : Call
            The request.
        record : UpstreamRecord
            Upstream that would have run it.
        waited_s : float
            Seconds for which it has waited.
        waiting_s : float
            Expected seconds until there is room.
        """
        detail = (
            f"upstream {record.id}: no room after {waited_s:.2f} s, expected in "
            f"{waiting_s:.2f} s"
        )
        work_s = self._view.loads.estimate_work_s(call.route.name, 0.0)
        return self.refuse_short(call, detail, waiting_s, work_s)

    def refuse_short(
        self, call: Call, detail: str, waiting_s: float, work_s: float
    ) -> RefusedError:
        """
        Return the error for a request that is turned away for lack of room.

        Parameters
        ----------
        call : Call
            The request. If an earlier attempt may have run, the verdict says so.
        detail : str
            Text for the log.
        waiting_s : float
            Expected seconds until there is room.
        work_s : float
            Expected duration of the request in seconds.

        Notes
        -----
        Callers wait for a third of the time that they have left at most. They are told
        to return so that they can still be served in time, if there is room by then,
        and spread over that time.
        """
        if call.may_have_run:
            return RefusedError(refuse_may_have_run(Reason.UPSTREAM_LOST, detail))
        settings = self._settings.admission
        earliest_s = max(settings.least_retry_s, waiting_s)
        in_time_s = call.started_at + call.route.target_s - work_s - monotonic()
        latest_s = RETURN_SHARE * call.remaining_s
        if in_time_s > earliest_s:
            latest_s = min(latest_s, in_time_s)
        retry_s = self._spread.choose_delay_s(earliest_s, latest_s)
        refusal = Refusal(
            status=503,
            reason=Reason.QUEUE_FULL,
            detail=detail,
            retry_after_s=min(retry_s, settings.most_retry_s),
        )
        return RefusedError(refusal)
