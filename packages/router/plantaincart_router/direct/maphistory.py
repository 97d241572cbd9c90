"""The latest changes of the owners' map, by version."""

from collections import deque
from collections.abc import Iterable

from plantaincart_schema.generated.direct import MapChange

__all__ = ["MapHistory"]

# Changes kept for members that lag; one that lags more gets the whole map.
KEPT_CHANGES = 1000


class MapHistory:
    """
    Changes of the map, each of which makes a new version of it.

    Attributes
    ----------
    version : int
        Version of the map.

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
        self._changes: deque[MapChange] = deque(maxlen=KEPT_CHANGES)
        self.version = 0

    def add(self, changes: Iterable[MapChange]) -> None:
        """Add changes in order."""
        for change in changes:
            self.version += 1
            self._changes.append(change)

    def invalidate_versions(self) -> None:
        """Make all earlier versions outdated."""
        self._changes.clear()
        self.version += 1

    def list_since(self, version: int) -> list[MapChange] | None:
        """
        List the changes after a version.

        Parameters
        ----------
        version : int
            Version that a member has.

        Returns
        -------
        list of MapChange or None
            None if only the whole map brings the member up to date.
        """
        behind = self.version - version
        if version < 0 or behind > len(self._changes):
            return None
        return list(self._changes)[max(0, len(self._changes) - behind) :]
