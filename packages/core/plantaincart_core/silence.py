"""Upstreams that never answer some requests, told from upstreams that are slow."""

from collections import deque
from dataclasses import dataclass
from math import erfc, exp, inf, log, sqrt

__all__ = ["ResponseSpread", "ServiceSilence", "SilenceSettings", "Wait"]

# Spread of the logarithm of response times before any was measured, and its bounds.
FIRST_DEVIATION = 0.9
LEAST_DEVIATION = 0.4
MOST_DEVIATION = 1.5
# Number of measurements as which the first spread counts, and number beyond which
# older ones lose weight.
FIRST_WEIGHT = 10
MOST_WEIGHT = 200
# Fraction to which silences may have aged and still count: they are then seen within
# four tenths of the half-life.
FORGOTTEN_SHARE = 0.75
# Answers of one process that are kept, at most.
MAX_ANSWERS = 16
# Smallest expected response time in seconds that a ratio refers to.
LEAST_EXPECTED_S = 0.005


@dataclass(frozen=True, kw_only=True, slots=True)
class SilenceSettings:
    """
    When an attempt without an answer counts as silent.

    Parameters
    ----------
    min_probability : float
        Minimum probability that no answer will come. With 0.5, a repeat is needed more
        often than not, so that there are at most as many needless repeats as silent
        attempts.
    most_survival : float
        Maximum fraction of ordinary answers that take longer still. It bounds how
        early an attempt counts as silent, however often upstreams fall silent.
    shown_events : int
        Number of silences seen from which a service's upstreams are taken to fall
        silent.
    memory_s : float
        Half-life in seconds of what was seen.
    confirm_s : float
        Seconds after sending an unanswered request within which an ordinary answer to
        a later one shows silence. An upstream that was slow may have recovered later.
    told_s : float
        Seconds for which it holds that other instances have seen silence.
    least_s : float
        Minimum time in seconds without an answer: several round trips.
    """

    min_probability: float = 0.5
    most_survival: float = 0.08
    shown_events: int = 2
    memory_s: float = 60.0
    confirm_s: float = 3.0
    told_s: float = 20.0
    least_s: float = 0.05

    @property
    def least_shown(self) -> float:
        """Aged number of silences from which `shown_events` count as seen."""
        return FORGOTTEN_SHARE * self.shown_events


@dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """
    Time that an attempt has waited for the first byte of its answer.

    Parameters
    ----------
    route : str
        Route of the request.
    process : str
        Process of the upstream.
    sent_at : float
        Time of sending in seconds.
    elapsed_s, expected_s : float
        Seconds since then, and seconds that the whole answer was expected to take: the
        wait by the known queue, and the duration with the known slowdown.
    """

    route: str
    process: str
    sent_at: float
    elapsed_s: float
    expected_s: float

    @property
    def ended_at(self) -> float:
        """Time in seconds at which the wait ended, or was looked at."""
        return self.sent_at + self.elapsed_s


class ResponseSpread:
    """
    Distribution of response times relative to the expected ones.

    Notes
    -----
    It is taken to be log-normal; mean and deviation of the logarithm are learnt.
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._variance = FIRST_DEVIATION**2
        self._weight = FIRST_WEIGHT

    def record(self, elapsed_s: float, expected_s: float) -> None:
        """Add the response time in seconds of an attempt, and the expected one."""
        ratio = _log_ratio(elapsed_s, expected_s)
        self._weight = min(self._weight + 1, MOST_WEIGHT)
        deviation = ratio - self._mean
        self._mean += deviation / self._weight
        squared = deviation * (ratio - self._mean)
        self._variance += (squared - self._variance) / self._weight

    def find_survival(self, elapsed_s: float, expected_s: float) -> float:
        """Return the fraction of ordinary answers that take longer than a time."""
        score = (_log_ratio(elapsed_s, expected_s) - self._mean) / self._deviation
        return 0.5 * erfc(score / sqrt(2.0))

    def find_time_s(self, survival: float, expected_s: float) -> float:
        """Return the time in seconds that a fraction of ordinary answers exceed."""
        expected_s = max(expected_s, LEAST_EXPECTED_S)
        return expected_s * exp(self._mean + self._deviation * _find_score(survival))

    @property
    def _deviation(self) -> float:
        return min(MOST_DEVIATION, max(LEAST_DEVIATION, sqrt(self._variance)))


class ServiceSilence:
    """
    How often the upstreams of one service fall silent.

    Parameters
    ----------
    settings : SilenceSettings
        When an attempt counts as silent.

    Notes
    -----
    With a share `p` of silent attempts and a share `s` of ordinary answers that take
    longer than an attempt has waited, it is silent with the probability
    `p / (p + (1 - p) * s)`.

    Silence is shown by an attempt that got no byte until its end, long after the usual
    time, if the same process soon gave an ordinary answer to a request sent after it:
    after its end, or before it to a request sent when the attempt was overdue already.
    An upstream that is slow, stands still or is gone gives none.

    Examples
    --------
    >>> silence = ServiceSilence(SilenceSettings())
    >>> silence.choose_limit_s("lookup", expected_s=0.1, now=0.0)
    inf
    >>> for start in (0.0, 5.0):
    ...     usual = {"route": "lookup", "process": "u1", "expected_s": 0.1}
    ...     _ = silence.record_unanswered(Wait(sent_at=start, elapsed_s=1.2, **usual))
    ...     silence.record_answer(Wait(sent_at=start + 2.0, elapsed_s=0.1, **usual))
    True
    True
    >>> 0.1 < silence.choose_limit_s("lookup", expected_s=0.1, now=8.0) < 0.6
    True
    """

    def __init__(self, settings: SilenceSettings) -> None:
        self._settings = settings
        self._spreads: dict[str, ResponseSpread] = {}
        self._attempts = 0.0
        self._unanswered = 0.0
        self._shown = 0.0
        self._aged_at = -inf
        self._told_until = -inf
        # Time of sending of the last unanswered attempt, by upstream process.
        self._suspected: dict[str, float] = {}
        # Time of sending of the last answered requests, and whether the answers were
        # ordinary, by upstream process.
        self._answers: dict[str, deque[tuple[float, bool]]] = {}
        # Time of sending of the last answered request that has shown silence.
        self._shown_by: dict[str, float] = {}

    def has_shown(self, now: float) -> bool:
        """Return whether upstreams of the service fall silent."""
        if now < self._told_until:
            return True
        return self.count_shown(now) >= self._settings.least_shown

    def count_shown(self, now: float) -> float:
        """Return the number of silences that this instance has seen lately."""
        self._age(now)
        return self._shown

    def record_told(self, now: float) -> None:
        """Record that other instances have seen silence at the service."""
        self._told_until = now + self._settings.told_s

    def record_answer(self, wait: Wait) -> bool:
        """
        Add the wait for the first byte of an answer.

        Parameters
        ----------
        wait : Wait
            The attempt, answered.

        Returns
        -------
        bool
            Whether the answer shows that an earlier attempt had met silence.
        """
        self._age(wait.ended_at)
        self._attempts += 1.0
        is_ordinary = not self._is_overdue(wait)
        self._find_spread(wait.route).record(wait.elapsed_s, wait.expected_s)
        answers = self._answers.setdefault(wait.process, deque(maxlen=MAX_ANSWERS))
        answers.append((wait.sent_at, is_ordinary))
        suspected_at = self._suspected.get(wait.process)
        if suspected_at is None or wait.sent_at <= suspected_at:
            return False
        del self._suspected[wait.process]
        is_soon = wait.sent_at - suspected_at <= self._settings.confirm_s
        if is_ordinary and is_soon:
            self.record_shown(wait.ended_at)
        return is_ordinary and is_soon

    def record_unanswered(self, wait: Wait) -> bool:
        """
        Record an attempt that ended without a byte of an answer, unless it was early.

        Parameters
        ----------
        wait : Wait
            The attempt, given up.

        Returns
        -------
        bool
            Whether it is taken to have met silence: its end came long after the usual
            time, and upstreams of the service fall silent.
        """
        self._age(wait.ended_at)
        self._attempts += 1.0
        if not self._is_overdue(wait):
            return False
        self._unanswered += 1.0
        if self.was_overtaken(wait):
            self._record_overtaken(wait)
        else:
            self._suspected[wait.process] = wait.sent_at
        return self.has_shown(wait.ended_at)

    def was_overtaken(self, wait: Wait) -> bool:
        """
        Return whether answers that came during an attempt show that it met silence.

        Parameters
        ----------
        wait : Wait
            An attempt that ended without a byte of an answer.

        Notes
        -----
        An answer to a request sent before the attempt was overdue proves little: the
        upstream may have stood still since then. Slow answers show that it was slow.
        """
        if not self._is_overdue(wait):
            return False
        survival = self._settings.most_survival
        spread = self._find_spread(wait.route)
        overdue_at = wait.sent_at + spread.find_time_s(survival, wait.expected_s)
        later = self._list_answers_after(wait)
        is_proved = any(
            overdue_at <= sent_at <= wait.sent_at + self._settings.confirm_s
            for sent_at, _ in later
        )
        return is_proved and all(is_ordinary for _, is_ordinary in later)

    def _list_answers_after(self, wait: Wait) -> list[tuple[float, bool]]:
        answers = self._answers.get(wait.process, ())
        return [item for item in answers if item[0] > wait.sent_at]

    def _record_overtaken(self, wait: Wait) -> None:
        """Record a silence, unless the same answers have shown one before."""
        latest = max(sent_at for sent_at, _ in self._list_answers_after(wait))
        if latest > self._shown_by.get(wait.process, -inf):
            self._shown_by[wait.process] = latest
            self.record_shown(wait.ended_at)

    def record_shown(self, now: float) -> None:
        """Record that an upstream of the service was seen to fall silent."""
        self._age(now)
        self._shown += 1.0

    def forget_process(self, process: str) -> None:
        """Drop what is suspected of a process that has ended."""
        self._suspected.pop(process, None)
        self._answers.pop(process, None)
        self._shown_by.pop(process, None)

    def choose_limit_s(self, route: str, expected_s: float, now: float) -> float:
        """
        Choose after which time without a byte an attempt counts as silent.

        Parameters
        ----------
        route : str
            Route of the request.
        expected_s : float
            Seconds that the answer is expected to take.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds from sending; infinite if the service hasn't shown silence.
        """
        if not self.has_shown(now):
            return inf
        settings = self._settings
        share = (self._unanswered + 1.0) / (self._attempts + 2.0)
        odds = (1.0 - settings.min_probability) / settings.min_probability
        survival = settings.most_survival
        if share < 1.0:
            survival = min(survival, share / (1.0 - share) * odds)
        limit_s = self._find_spread(route).find_time_s(survival, expected_s)
        return max(settings.least_s, limit_s)

    def _is_overdue(self, wait: Wait) -> bool:
        spread = self._find_spread(wait.route)
        survival = spread.find_survival(wait.elapsed_s, wait.expected_s)
        return survival < self._settings.most_survival

    def _find_spread(self, route: str) -> ResponseSpread:
        spread = self._spreads.get(route)
        if spread is None:
            spread = self._spreads[route] = ResponseSpread()
        return spread

    def _age(self, now: float) -> None:
        if self._aged_at == -inf:
            self._aged_at = now
        if now <= self._aged_at:
            return
        weight = 0.5 ** ((now - self._aged_at) / self._settings.memory_s)
        self._attempts *= weight
        self._unanswered *= weight
        self._shown *= weight
        self._aged_at = now


def _log_ratio(elapsed_s: float, expected_s: float) -> float:
    return log(max(elapsed_s, 1e-4) / max(expected_s, LEAST_EXPECTED_S))


def _find_score(survival: float) -> float:
    """
    Return the standard score above which a share of a normal distribution lies.

    References
    ----------
    Abramowitz and Stegun, Handbook of Mathematical Functions, 26.2.23.
    """
    root = sqrt(-2.0 * log(min(0.5, max(1e-6, survival))))
    upper = 2.515517 + root * (0.802853 + root * 0.010328)
    lower = 1.0 + root * (1.432788 + root * (0.189269 + root * 0.001308))
    return root - upper / lower
