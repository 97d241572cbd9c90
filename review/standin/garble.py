"""Choice of the answers of which an endpoint sends a late second copy."""

__all__ = ["LateCopies"]

# Largest dose of `garble` on the site: share of the endpoints, share of their answers,
# and length.
ENDPOINT_SHARE, ANSWER_SHARE, LENGTH_S = 0.6, 0.05, 5.5


class LateCopies:
    """
    Double some answers of some endpoints for a time.

    Parameters
    ----------
    wanted : callable
        Takes target and answer, and returns whether the answer is doubled if the dose
        allows it.
    """

    def __init__(self, wanted):
        self._wanted = wanted
        self._since = float("inf")
        self._chosen = ()
        self._answers = {}
        self.doubled = {}

    def start(self, system, endpoints):
        """Begin, at a share of the given endpoints."""
        count = int(ENDPOINT_SHARE * len(endpoints))
        self._chosen = [endpoint.id for endpoint in endpoints[:count]]
        self._since = system.now
        system.log("garble-begins", endpoints=",".join(self._chosen))

    def __call__(self, system, endpoint, target, answer):
        """Return whether a second copy of an answer is sent late."""
        is_due = 0.0 <= system.now - self._since < LENGTH_S
        if not is_due or endpoint.id not in self._chosen:
            return False
        answers = self._answers[endpoint.id] = self._answers.get(endpoint.id, 0) + 1
        doubled = self.doubled.get(endpoint.id, 0)
        if doubled + 1 > ANSWER_SHARE * answers or not self._wanted(target, answer):
            return False
        self.doubled[endpoint.id] = doubled + 1
        system.log("doubled", endpoint=endpoint.id, target=target, status=answer[0])
        return True

    def describe(self):
        """Return how many answers each endpoint gave and doubled."""
        return ", ".join(
            f"{name}: {self.doubled.get(name, 0)} of {count}"
            for name, count in self._answers.items()
        )
