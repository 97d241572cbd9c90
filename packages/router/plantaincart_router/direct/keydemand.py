"""What requests ask of keys, as an instance reports it to the coordinator."""

from plantaincart_schema.generated.direct import KeyLoad, RefusedKey

__all__ = ["KeyDemand"]

# Maximum number of keys in a report. Requests for further keys aren't counted until the
# next report.
MAX_REPORTED_KEYS = 512


class KeyDemand:
    """Requested work by key, and keys that their owners refused."""

    def __init__(self) -> None:
        self._loads: dict[str, dict[int, float]] = {}
        self._refused: list[RefusedKey] = []

    def record_load(self, service: str, key: int, work_s: float) -> None:
        """
        Add requested work to the load of a key.

        Parameters
        ----------
        service : str
            Service of the key.
        key : int
            The key.
        work_s : float
            Work in seconds.
        """
        loads = self._loads.setdefault(service, {})
        if key in loads or len(loads) < MAX_REPORTED_KEYS:
            loads[key] = loads.get(key, 0.0) + work_s

    def record_refused(self, service: str, key: int, owner: str, fence: int) -> None:
        """
        Record that the owner of a key answered that it doesn't own it.

        Parameters
        ----------
        service : str
            Service of the key.
        key : int
            The key.
        owner : str
            Identity of the upstream.
        fence : int
            Fencing token under which it was taken for the owner.
        """
        self._refused.append(
            RefusedKey(service=service, key=key, owner=owner, fence=fence)
        )

    def pop_loads(self) -> list[KeyLoad]:
        """Return the requested work since the last call, by key."""
        key_loads, self._loads = self._loads, {}
        return [
            KeyLoad(
                service=service,
                keys=list(loads),
                work_ms=[round(work * 1000.0) for work in loads.values()],
            )
            for service, loads in key_loads.items()
        ]

    def pop_refused(self) -> list[RefusedKey]:
        """Return the keys that their owners refused since the last call."""
        refused_keys, self._refused = self._refused, []
        return refused_keys
