"""Faults of the next answers of an upstream stand-in."""

from collections import Counter

from plantaincart_testing.listener import WireFault
from plantaincart_testing.upstream_settings import UpstreamFaults

__all__ = ["AnswerFaults"]

_WIRE_FAULTS = {
    "truncate": WireFault.TRUNCATE,
    "duplicate": WireFault.DUPLICATE,
    "lose": WireFault.LOSE,
    "cross": WireFault.CROSS,
}


class AnswerFaults:
    """
    Selects the faults of the next answers, and counts those that remain.

    Parameters
    ----------
    faults : UpstreamFaults
        Faults in force.

    Examples
    --------
    >>> faults = AnswerFaults(UpstreamFaults(late_next=1, late_s=2.0, lose_next=1))
    >>> faults.draw()
    (<WireFault.LOSE: 2>, 2.0)
    >>> faults.draw()
    (<WireFault.NONE: 1>, 0.0)
    """

    def __init__(self, faults: UpstreamFaults) -> None:
        self._delay_s = faults.late_s
        self._remaining = Counter(
            truncate=faults.truncate_next,
            duplicate=faults.duplicate_next,
            lose=faults.lose_next,
            cross=faults.cross_next,
            late=faults.late_next,
        )

    def draw(self) -> tuple[WireFault, float]:
        """
        Return the fault of the next answer, and count it.

        Returns
        -------
        fault : WireFault
            Fault to inject into the bytes of the answer.
        delay_s : float
            Delay of the answer in seconds.
        """
        delay_s = self._delay_s if self._use_fault("late") else 0.0
        for name, fault in _WIRE_FAULTS.items():
            if self._use_fault(name):
                return fault, delay_s
        return WireFault.NONE, delay_s

    def _use_fault(self, name: str) -> bool:
        if self._remaining[name] <= 0:
            return False
        self._remaining[name] -= 1
        return True
