"""The latest changes of the map of owners, by version."""

from collections import deque
from collections.abc import Iterable

from plantaincart_schema.generated.direct import MapChange

__all__ = ["MapHistory"]

# Number of changes kept. A member that lacks more of them gets the whole map.
MAX_CHANGES = 1000


class MapHistory:
    """
    Changes of the map. Each change increments the version.

    Attributes
    ----------
    version : int
        Present version of the map.

    Examples
    --------
    >>> history = MapHistory()
    >>> change = MapChange(service="desk", first=0, last=9, owner="", born=0, fence=0)
    >>> history.add([change])
    >>> history.list_since(0) == [change]
    True
    >>> history.list_since(-1) is None
    True
    """

    def __init__(self) -> None:
        self._changes: deque[MapChange] = deque(maxlen=MAX_CHANGES)
        self.version = 0

    def add(self, changes: Iterable[MapChange]) -> None:
        """Add changes in order."""
        for change in changes:
            self.version += 1
            self._changes.append(change)

    def invalidate_versions(self) -> None:
        """Invalidate all earlier versions, so that members get the whole map."""
        self._changes.clear()
        self.version += 1

    def list_since(self, version: int) -> list[MapChange] | None:
        """
        List the changes after a version.

        Parameters
        ----------
        version : int
            Version of the map at a member.

        Returns
        -------
        list of MapChange or None
            Changes in order; None if the member needs the whole map.
        """
        missing = self.version - version
        if version < 0 or missing > len(self._changes):
            return None
        return list(self._changes)[max(0, len(self._changes) - missing) :]
