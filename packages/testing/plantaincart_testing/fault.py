"""Faults of the platform stand-in, and the decision which calls are affected."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

__all__ = ["DownMode", "FaultPlan", "FaultDecision", "PlatformFaults"]


class DownMode(StrEnum):
    """How calls fail while the platform is down."""

    REFUSE = "refuse"
    ERROR = "error"
    SILENT = "silent"


@dataclass(frozen=True, kw_only=True)
class PlatformFaults:
    """
    Faults of the platform stand-in; by default there are none.

    Parameters
    ----------
    down : bool
        Whether every call fails without effect.
    down_mode : DownMode
        Connections are closed, calls get status 503, or calls get no answer.
    parts : list of str
        First path segments of the calls that faults apply to; empty for all calls.
    clients_cut : list of str
        Values of the client header of clients for which the platform is down.
    delay_s : float
        Seconds before a call takes effect.
    delay_jitter_s : float
        Maximum of the random time added to the delay, uniformly distributed.
    reads_per_s, commits_per_s : float
        Maximum number of reads and scans, and of transactions, per second;
        further calls wait for their turn. 0 for no limit.
    error_rate : float
        Share of calls answered with 503 without effect.
    lost_answers_next : int
        Number of next commits whose answer is lost after they took effect.
    lost_answer_rate : float
        Share of commits whose answer is lost after they took effect.
    flap_period_s : float
        Period in seconds of a recurring outage; 0 for none.
    flap_down_share : float
        Share of each period during which the platform is down.
    instances_frozen : bool
        Whether the instance list stays as it was when this fault was set.
    instances_lag_s : float
        Seconds by which the instance list is out of date.
    seed : int
        Seed of the random draws.
    """

    down: bool = False
    down_mode: DownMode = DownMode.REFUSE
    parts: Sequence[str] = ()
    clients_cut: Sequence[str] = ()
    delay_s: float = 0.0
    delay_jitter_s: float = 0.0
    reads_per_s: float = 0.0
    commits_per_s: float = 0.0
    error_rate: float = 0.0
    lost_answers_next: int = 0
    lost_answer_rate: float = 0.0
    flap_period_s: float = 0.0
    flap_down_share: float = 0.5
    instances_frozen: bool = False
    instances_lag_s: float = 0.0
    seed: int = 0


@dataclass(frozen=True, kw_only=True)
class FaultDecision:
    """
    Faults that affect one call.

    Parameters
    ----------
    down : DownMode or None
        How the call fails without effect; None if it takes effect.
    delay_s : float
        Seconds before the call takes effect.
    answer_lost : bool
        Whether the answer is dropped after the call took effect.
    """

    down: DownMode | None = None
    delay_s: float = 0.0
    answer_lost: bool = False


@dataclass
class FaultPlan:
    """
    Decides which calls are affected by a fault.

    Parameters
    ----------
    faults : PlatformFaults
        Faults in force.
    started_at : float
        Time in seconds at which the faults came into force.

    Examples
    --------
    >>> plan = FaultPlan(PlatformFaults(lost_answers_next=1), started_at=0.0)
    >>> [plan.decide("i1", "table", True, now=1.0).answer_lost for _ in range(2)]
    [True, False]
    """

    faults: PlatformFaults
    started_at: float
    _random: Random = field(init=False)
    _remaining_lost_answers: int = field(init=False)
    _next_turn_at: dict[bool, float] = field(init=False)

    def __post_init__(self) -> None:
        self._random = Random(self.faults.seed)
        self._remaining_lost_answers = self.faults.lost_answers_next
        self._next_turn_at = {True: self.started_at, False: self.started_at}

    def decide(
        self, client: str, path_segment: str, is_commit: bool, now: float
    ) -> FaultDecision:
        """
        Decide which faults affect a call.

        Parameters
        ----------
        client : str
            Name of the client; empty if unknown.
        path_segment : str
            First path segment of the call.
        is_commit : bool
            Whether the call is a transaction.
        now : float
            Current time in seconds.

        Returns
        -------
        FaultDecision
            Faults that affect the call.
        """
        faults = self.faults
        if client in faults.clients_cut:
            return FaultDecision(down=faults.down_mode)
        if faults.parts and path_segment not in faults.parts:
            return FaultDecision()
        if faults.down or self._is_in_recurring_outage(now):
            return FaultDecision(down=faults.down_mode)
        if self._random.random() < faults.error_rate:
            return FaultDecision(down=DownMode.ERROR)
        delay_s = faults.delay_s + self._random.random() * faults.delay_jitter_s
        delay_s += self._find_turn_delay(is_commit, now)
        answer_lost = is_commit and self._draw_answer_lost()
        return FaultDecision(delay_s=delay_s, answer_lost=answer_lost)

    def find_instance_list_time(self, now: float) -> float:
        """
        Return the time as of which the instance list is returned.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Time in seconds as of which the list is returned.
        """
        listed_at = self.started_at if self.faults.instances_frozen else now
        return listed_at - self.faults.instances_lag_s

    def _is_in_recurring_outage(self, now: float) -> bool:
        period_s = self.faults.flap_period_s
        if period_s <= 0:
            return False
        phase = ((now - self.started_at) % period_s) / period_s
        return phase < self.faults.flap_down_share

    def _find_turn_delay(self, is_commit: bool, now: float) -> float:
        faults = self.faults
        rate = faults.commits_per_s if is_commit else faults.reads_per_s
        if rate <= 0:
            return 0.0
        turn_at = max(now, self._next_turn_at[is_commit])
        self._next_turn_at[is_commit] = turn_at + 1.0 / rate
        return turn_at - now

    def _draw_answer_lost(self) -> bool:
        if self._remaining_lost_answers > 0:
            self._remaining_lost_answers -= 1
            return True
        return self._random.random() < self.faults.lost_answer_rate
