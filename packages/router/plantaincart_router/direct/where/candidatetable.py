"""Description of the upstreams that a request may go to."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from time import monotonic
from typing import Any

from plantaincart_core.choicechance import find_chances
from plantaincart_core.directory import UpstreamRecord
from plantaincart_core.verdict import RefusedError
from plantaincart_schema.generated.where import CandidateFacts

from plantaincart_router.direct.call import Call
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.transport import AttemptTransport
from plantaincart_router.direct.where.snapshot import ViewSnapshot
from plantaincart_router.direct.where.trial import Trial

__all__ = ["CandidateTable"]

# Maximum number of upstreams in an explanation.
MAX_CANDIDATES = 40
# Decimals of the numbers in an explanation.
DECIMALS = 4


class CandidateTable:
    """
    Describes upstreams by what the decision knows of them.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : ViewSnapshot
        Copy of the state.
    trial : Trial
        Parts of the decision over the copy.
    transport : AttemptTransport
        Tells to which upstreams connecting failed recently.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: ViewSnapshot,
        trial: Trial,
        transport: AttemptTransport,
    ) -> None:
        self._settings = settings
        self._view = view
        self._trial = trial
        self._transport = transport

    def list_facts(self, call: Call) -> tuple[list[CandidateFacts], int]:
        """
        List the upstreams of a request's service, or the owner of its key.

        Parameters
        ----------
        call : Call
            The request.

        Returns
        -------
        list of CandidateFacts
            The likeliest upstreams first, then the cheapest.
        int
            Number of those that were left out.
        """
        view, now = self._view, monotonic()
        if call.service.keyed:
            owner = self._find_owner(call)
            records = [] if owner is None else [owner]
            chances = {record.id: 1.0 for record in records}
            costs: dict[str, float] = {}
        else:
            service = call.service.name
            records = [item for item in view.directory if item.service == service]
            eligible = self._list_eligible(call)
            costs = {
                item.id: self._trial.costs.estimate_cost_s(call, item)
                for item in eligible
            }
            chances = self._find_chances(call, eligible, costs, now)

        def choose_place(record: UpstreamRecord) -> tuple[float, float, str]:
            cost_s = costs.get(record.id, float("inf"))
            return -chances.get(record.id, 0.0), cost_s, record.id

        records.sort(key=choose_place)
        facts = [
            self._describe(call, record, chances.get(record.id, 0.0), now)
            for record in records[:MAX_CANDIDATES]
        ]
        return facts, len(records) - len(facts)

    def _find_owner(self, call: Call) -> UpstreamRecord | None:
        key = call.metadata.key
        if key is None:
            return None
        key_range = self._view.find_owner(call.service.name, key)
        record = self._view.directory.get(key_range.owner) if key_range else None
        is_owner = record is not None and key_range and record.born == key_range.born
        return record if is_owner else None

    def _find_chances(
        self,
        call: Call,
        eligible: Sequence[UpstreamRecord],
        costs: Mapping[str, float],
        now: float,
    ) -> dict[str, float]:
        """
        Return how often each upstream is chosen.

        Notes
        -----
        A paced upstream is considered for a share of the requests only. It is taken to
        compete with all others then, so that the chances are approximate if several
        are paced.
        """
        pace_filter = self._trial.pace_filter
        shares = {item.id: pace_filter.find_share(item, now) for item in eligible}
        paced = {name: share for name, share in shares.items() if share < 1.0}
        certain = [item for item in eligible if item.id not in paced]
        chances = self._choose(call, certain, costs, now)
        if not paced:
            return chances
        among_all = self._choose(call, eligible, costs, now)
        for name, share in paced.items():
            own = share * among_all.get(name, 0.0)
            chances = {other: value * (1.0 - own) for other, value in chances.items()}
            chances[name] = own
        return chances

    def _choose(
        self,
        call: Call,
        records: Sequence[UpstreamRecord],
        costs: Mapping[str, float],
        now: float,
    ) -> dict[str, float]:
        """Return how often each of the candidates is chosen and admitted."""
        room, own = self._view.room, self._settings.data_centre
        records = [item for item in records if room.has_room(item, now)] or records
        if not records:
            return {}
        local = {item.id: costs[item.id] for item in records if item.data_centre == own}
        remote = {
            item.id: costs[item.id] for item in records if item.data_centre != own
        }
        chances = find_chances(local, remote, self._settings.choice)
        admitted = {
            item.id: self._trial.admission.assess(call, item)[1].admitted
            for item in records
        }
        late = sum(chances[name] for name in chances if not admitted[name])
        chances = {
            name: chance if admitted[name] else 0.0 for name, chance in chances.items()
        }
        # The cheapest of all is used instead, if it can answer in time.
        cheapest = min(chances, key=lambda name: costs[name])
        if admitted[cheapest]:
            chances[cheapest] += late
        return chances

    def _list_eligible(self, call: Call) -> list[UpstreamRecord]:
        """Return the upstreams that may be among the candidates."""
        try:
            return self._trial.possible.list_candidates(call)
        except RefusedError:
            # The decision says why there are none.
            return []

    def _describe(
        self, call: Call, record: UpstreamRecord, chance: float, now: float
    ) -> CandidateFacts:
        view = self._view
        load, room = view.loads.get(record.id), view.room
        expected = self._trial.costs.estimate(call, record)
        cost_s = self._trial.costs.estimate_cost_s(call, record)
        if record.data_centre != self._settings.data_centre:
            cost_s *= self._settings.choice.remote_cost_factor
        is_divided = room.share.is_divided(record.service)
        units = room.share.grant.units.get(record.id, 0) if is_divided else None
        facts = CandidateFacts(
            upstream=record.id,
            data_centre=record.data_centre,
            chance=chance,
            wait_s=expected.wait_s,
            work_s=expected.work_s,
            cost_s=cost_s,
            slots=record.slots,
            own=load.in_flight,
            in_flight=load.estimate_in_flight(now, view.loads.settings),
            known_age_s=load.measure_age_s(now),
            lasting=view.speeds.find_lasting(record.id),
            slowdown=view.speeds.find_slowdown(record.id, record.service, now),
            slowdown_age_s=view.speeds.measure_age_s(record.id, now),
            warm_up_s=max(0.0, view.directory.remaining_warm_up_s(record.id, now)),
            pace=view.paces.find_limit(record.id, now),
            backoff_s=view.backoffs.remaining_s(record, now),
            reconnect_s=self._transport.retry_delay_s(record, now),
            units=units,
            units_in_use=room.share.count_in_use(record.id),
            room_wait_s=room.estimate_wait_s(record, now),
            limit_per_s=view.quotas.limits.find((record.id, record.born)),
            permit_wait_s=view.quotas.estimate_wait_s(record, now),
        )
        return _round(replace(facts, states=self._list_states(call, record, facts)))

    def _list_states(
        self, call: Call, record: UpstreamRecord, facts: CandidateFacts
    ) -> list[str]:
        view, now = self._view, monotonic()
        if call.service.keyed:
            accepts = view.draining.can_serve_keys(record)
        else:
            accepts = view.directory.accepts_requests(record)
        conditions = (
            ("draining", not accepts),
            ("backed-off", facts.backoff_s > 0.0),
            ("unreachable", facts.reconnect_s > 0.0),
            ("suspected", view.directory.is_suspected(record.id)),
            ("cold", not self._trial.cold_filter.allows(call, record, now)),
            ("paced", self._trial.pace_filter.find_share(record, now) < 1.0),
            ("no-room", not view.room.has_room(record, now)),
            ("no-permit", facts.permit_wait_s > 0.0),
            ("too-late", not self._trial.admission.assess(call, record)[1].admitted),
        )
        return [state for state, applies in conditions if applies]


def _round(facts: CandidateFacts) -> CandidateFacts:
    rounded: dict[str, Any] = {
        name: round(value, DECIMALS)
        for name, value in vars(facts).items()
        if isinstance(value, float)
    }
    return replace(facts, **rounded)
