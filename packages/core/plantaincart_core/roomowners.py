"""Division of the room of owners of keys that is scarce."""

from collections.abc import Iterable, Mapping

from plantaincart_core.roomaccount import RoomAccount, RoomLease, UpstreamRoom

__all__ = ["ScarceOwners"]

# Share of an owner's room from whose use on it is divided, and seconds for which it
# stays so afterwards. Below it a request isn't worth the wait for a unit, which takes
# an exchange with the coordinator.
SCARCE_SHARE = 0.875
SCARCE_S = 1.0
# Part of the room that is given out at first, and for how many seconds: until all have
# reported what they sent before.
FIRST_SHARE = 0.5
FIRST_S = 0.3


class ScarceOwners:
    """
    Divides the room of an owner of keys while it is scarce.

    Parameters
    ----------
    account : RoomAccount
        What members hold and want.
    """

    def __init__(self, account: RoomAccount) -> None:
        self._account = account
        self._rooms: Mapping[str, UpstreamRoom] = {}
        self._until: dict[str, float] = {}
        self._since: dict[str, float] = {}

    def set_rooms(self, rooms: Mapping[str, UpstreamRoom]) -> None:
        """Set the room by upstream."""
        self._rooms = rooms
        for name in self._until.keys() - rooms.keys():
            del self._until[name], self._since[name]

    def is_scarce(self, upstream: str, now: float) -> bool:
        """Return whether the room of an owner is divided."""
        return now < self._until.get(upstream, float("-inf"))

    def record(self, names: Iterable[str], now: float) -> bool:
        """
        Look whether owners have become scarce.

        Parameters
        ----------
        names : iterable of str
            Upstreams at which a member has requests.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether any has.
        """
        is_news = False
        for name in names:
            room = self._rooms.get(name)
            if room is None or not room.keyed:
                continue
            if self._account.demand[name] >= max(2.0, SCARCE_SHARE * room.units):
                if not self.is_scarce(name, now):
                    is_news = True
                    self._since[name] = now
                self._until[name] = now + SCARCE_S
        return is_news

    def fit(
        self, lease: RoomLease, units: dict[str, int], may_add: bool, now: float
    ) -> None:
        """Divide the room of owners that are scarce by demand."""
        report = lease.report
        named = {*units, *report.waiting, *self._until}
        for name in sorted(named):
            room = self._rooms.get(name)
            if room is None or not room.keyed:
                continue
            is_scarce = self.is_scarce(name, now)
            waiting = report.waiting.get(name, 0)
            own = report.in_use.get(name, 0) + waiting
            if not is_scarce and not waiting:
                units.pop(name, None)
                continue
            limit = room.units
            if is_scarce and now - self._since[name] < FIRST_S:
                limit = max(1, int(FIRST_SHARE * limit))
            target, demand = own, self._account.demand[name]
            if demand > limit:
                target = max(min(1, own), own * limit // demand)
            present = units.get(name, 0)
            while (
                present < target
                and may_add
                and self._account.may_add(lease, units, name, limit)
            ):
                self._account.add(lease, units, name)
                present += 1
            units[name] = min(present, target)
            if not is_scarce and not units[name]:
                del units[name]
