"""Identity and quotas of client accounts at the entry."""

from asyncio import Event, timeout

from plantaincart_core.account import AccountIndex, ClientAccount
from plantaincart_core.accountquota import AccountQuotas
from plantaincart_core.traffic import Route
from plantaincart_core.verdict import Reason, RefusedError

from plantaincart_router.direct.call import Call, refuse
from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.interface import RequestMetadata
from plantaincart_router.direct.metrics import RouterMetrics
from plantaincart_router.direct.view import SystemView
from plantaincart_router.log import write_event

__all__ = [
    "MAX_WAITING",
    "MAX_WAIT_S",
    "MAX_WAIT_SHARE",
    "AccountGate",
    "find_account",
    "refuse_account",
]

# Maximum time in seconds for which a request waits for a token, and the fraction of its
# remaining time.
MAX_WAIT_S = 1.0
MAX_WAIT_SHARE = 0.25
# Seconds for which an answer is awaited before a request asks again.
ANSWER_S = 0.06
# Maximum number of requests of an account that wait for a token at an instance.
MAX_WAITING = 128
# Minimum time in seconds between two log lines on unknown keys, and on one account.
LOG_INTERVAL_S = 1.0
# Maximum number of accounts with metrics of their own, and the name of all others.
MAX_LABELS = 100
OTHER_LABEL = "other"


def find_account(
    accounts: AccountIndex, route: Route, metadata: RequestMetadata
) -> ClientAccount | None:
    """
    Find the account of a request.

    Parameters
    ----------
    accounts : AccountIndex
        Accounts of the configuration in force.
    route : Route
        Route that the request matches.
    metadata : RequestMetadata
        Parsed header fields of the request.

    Returns
    -------
    ClientAccount or None
        None if the configuration names no accounts, or the route needs none.

    Raises
    ------
    RefusedError
        If the route needs an account, and none holds the request's key.
    """
    if not len(accounts):
        return None
    account = accounts.find(metadata.account_key_digest)
    if account is not None or route.public:
        return account
    raise refuse(Reason.ACCOUNT_UNKNOWN, "no account holds the key", 0.0)


def refuse_account(
    quotas: AccountQuotas, account: ClientAccount, now: float
) -> RefusedError:
    """
    Return the error for a request of an account whose quota is used up.

    Parameters
    ----------
    quotas : AccountQuotas
        Tokens of this instance; the refusal counts in the choice of later times.
    account : ClientAccount
        Account of the request.
    now : float
        Present time in seconds, of `read_boot_time`.
    """
    retry_after_s = quotas.choose_retry_s(account, now)
    own_share = ", own share" if quotas.is_alone(now) else ""
    detail = f"quota of the account{own_share}"
    return refuse(Reason.RATE_LIMITED, detail, retry_after_s)


class AccountGate:
    """
    Finds the accounts of requests, and lets requests within the quotas pass.

    Parameters
    ----------
    view : SystemView
        State of the system as this instance knows it.
    metrics : RouterMetrics
        Counters and histograms.
    """

    def __init__(self, view: SystemView, metrics: RouterMetrics) -> None:
        self._view = view
        self._fact = view.account_fact
        self._fact.on_change = self._wake
        self._metrics = metrics
        self._changed = Event()
        self._labels: set[str] = set()
        self._logged_at: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def identify(self, route: Route, metadata: RequestMetadata) -> ClientAccount | None:
        """Find the account of a request as `find_account` does, and count failures."""
        try:
            return find_account(self._fact.accounts, route, metadata)
        except RefusedError:
            self._metrics.count("unknown_keys", route.name)
            self._log("unknown_key", "", route=route.name)
            raise

    async def acquire(self, call: Call) -> None:
        """
        Take a token of the quota of a request's account.

        Parameters
        ----------
        call : Call
            The request.

        Raises
        ------
        RefusedError
            If the account's quota is used up, or its part here isn't known in time.
        """
        account = call.account
        if account is None or not account.is_limited:
            return
        quotas, now = self._fact.quotas, read_boot_time()
        quotas.set_fleet(self._view.members, self._view.rank, now)
        quotas.record_arrival(account, now)
        wait_until = now + min(MAX_WAIT_S, call.remaining_s * MAX_WAIT_SHARE)
        is_waiting = False
        try:
            while not quotas.take(account, now):
                if now >= wait_until or quotas.has_none_soon(account, now):
                    raise self._refuse(account, now)
                if not is_waiting:
                    is_waiting = True
                    if quotas.change_waiting(account, 1) > MAX_WAITING:
                        raise self._refuse(account, now)
                await self._wait()
                now = read_boot_time()
        finally:
            if is_waiting:
                quotas.change_waiting(account, -1)
        call.has_token = True
        self._metrics.count("account_requests", self._find_label(account), "passed")

    def give_back(self, call: Call) -> None:
        """Return the token of a request that has run nowhere and won't."""
        account = call.account
        if account is not None and call.has_token:
            call.has_token = False
            self._fact.quotas.give_back(account, read_boot_time())

    async def _wait(self) -> None:
        """Ask the coordinator for tokens, and wait for its answer for a moment."""
        changed, fact = self._changed, self._fact
        ask_in_s = fact.reported_at + fact.ask_after_s - read_boot_time()
        if ask_in_s <= 0.0:
            # Reports on top of those that aren't answered yet delay all answers.
            if fact.is_answered:
                self._view.quotas.on_wait()
            ask_in_s = ANSWER_S
        try:
            async with timeout(ask_in_s):
                await changed.wait()
        except TimeoutError:
            # The caller of this function asks again.
            return

    def _wake(self) -> None:
        self._changed.set()
        self._changed = Event()

    def _refuse(self, account: ClientAccount, now: float) -> RefusedError:
        quotas = self._fact.quotas
        error = refuse_account(quotas, account, now)
        self._metrics.count("account_requests", self._find_label(account), "refused")
        self._log(
            "quota_used_up",
            account.name,
            per_s=account.rate_per_s,
            burst=account.burst,
            members=quotas.members,
            told_s=round(now - quotas.led_at, 2) if quotas.has_been_led else None,
            alone=quotas.is_alone(now),
        )
        return error

    def _find_label(self, account: ClientAccount) -> str:
        if account.name in self._labels:
            return account.name
        if len(self._labels) < MAX_LABELS:
            self._labels.add(account.name)
            return account.name
        return OTHER_LABEL

    def _log(self, event: str, account: str, **fields: object) -> None:
        """Write one line an interval for each account, with the number of events."""
        name, now = event + account, read_boot_time()
        self._unlogged[name] = self._unlogged.get(name, 0) + 1
        if now - self._logged_at.get(name, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_at[name] = now
        count = self._unlogged.pop(name)
        write_event(event, account=account or None, count=count, **fields)
