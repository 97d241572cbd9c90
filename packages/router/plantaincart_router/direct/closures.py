"""Data centres that operators have taken out of service."""

from plantaincart_core.directory import UpstreamDirectory

from plantaincart_router.log import write_event

__all__ = ["DataCentreClosures"]

# Seconds after a restoration of the store within which operators have written closed
# data centres again. Until then the closures known before stay in force.
CLOSURE_REWRITE_S = 10.0


class DataCentreClosures:
    """
    Closures by the row of the operator that states them.

    Parameters
    ----------
    directory : UpstreamDirectory
        Is told which data centres are closed.
    """

    def __init__(self, directory: UpstreamDirectory) -> None:
        self._directory = directory
        self._closed_by_row: dict[str, str] = {}
        self._unconfirmed: dict[str, tuple[str, float]] = {}

    def doubt(self, now: float) -> None:
        """Keep the closures for a while whose rows a restored store may lack."""
        until = now + CLOSURE_REWRITE_S
        for key, data_centre in self._closed_by_row.items():
            self._unconfirmed.setdefault(key, (data_centre, until))

    def clear(self) -> None:
        """Forget the rows, before all of them are read anew."""
        self._closed_by_row.clear()

    def list_unconfirmed(self) -> list[str]:
        """Return the keys of the rows whose closures are kept without them."""
        return sorted(self._unconfirmed)

    def remove(self, key: str) -> None:
        """Record that a row was deleted."""
        self._unconfirmed.pop(key, None)
        self._closed_by_row.pop(key, None)

    def put(self, key: str, data_centre: str | None) -> None:
        """
        Record what a row states.

        Parameters
        ----------
        key : str
            Key of the row.
        data_centre : str or None
            The data centre that it closes; None if it is a row of another kind.
        """
        self._unconfirmed.pop(key, None)
        if data_centre is not None:
            self._closed_by_row[key] = data_centre

    def expire(self, now: float) -> bool:
        """Drop closures that weren't written again; return whether there were any."""
        expired = [key for key, (_, until) in self._unconfirmed.items() if until <= now]
        for key in expired:
            del self._unconfirmed[key]
        if expired:
            self.update_directory()
        return bool(expired)

    def update_directory(self) -> bool:
        """Put the known closures in force; return whether they have changed."""
        unconfirmed = {name for name, _ in self._unconfirmed.values()}
        closed = frozenset(self._closed_by_row.values()) | unconfirmed
        changed = closed != self._directory.closed_data_centres
        if changed:
            write_event("data_centres_closed", names=sorted(closed))
            self._directory.closed_data_centres = closed
        return changed
