"""Bounds of the values in messages between instances, checked once on receipt."""

from collections.abc import Iterable, Mapping, Sequence
from math import inf, isfinite

from plantaincart_core.ownermap import KEY_COUNT
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CrashRecord,
    KeyLoad,
    LimitReport,
    MapChange,
    MemberReport,
    Quota,
    RankReport,
    RankShare,
)

__all__ = ["check_notice", "check_report"]

# Generous upper bounds; a value beyond them can't come from an instance that works.
MAX_COUNT = 10**6
MAX_WORK_MS = 10**7
MAX_DURATION_S = 3600.0
MAX_SLOWNESS = 1e4
MAX_OCTAVES = 32.0
MAX_NAME_LENGTH = 255
# Some 8,900 years after 1970.
MAX_BORN_MS = 2**48
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_PEERS = 64
MAX_CRASH_RECORDS = 256
MAX_CRASHED_UPSTREAMS = 256
MAX_LIMITS = 4096
MAX_SILENT_SERVICES = 4096
MAX_LIMIT_PER_S = 1e6
MAX_PERMITS = 10**4
MAX_PERMIT_WAIT_S = 1e7
MAX_ACCOUNTS = 4096
MAX_RANKS = 1024
MAX_ROOMS = 20_000
# Some 30 years since a machine was started.
MAX_CLOCK_S = 1e9
MAX_VERSION = 2**62


def check_report(report: MemberReport) -> None:
    """
    Check a member's report.

    Parameters
    ----------
    report : MemberReport
        Report as decoded.

    Raises
    ------
    MalformedMessageError
        If a value is out of its range, so that it would distort sums and means over
        all members.
    """
    _check(0 < len(report.member) <= MAX_NAME_LENGTH, "name of the member")
    _check(report.epoch >= 0, "epoch")
    _check(isfinite(report.store_silent_s), "store_silent_s")
    _check_range([report.heard_at], MAX_CLOCK_S, "heard_at")
    _check(-1.0 <= report.earlier_silent_s <= MAX_CLOCK_S, "earlier_silent_s")
    _check_range([report.earlier_members], MAX_COUNT, "earlier_members")
    for load in report.loads:
        _check_load(load)
    _check_range(report.in_flight.values(), MAX_COUNT, "in_flight")
    _check_range(report.slowness.values(), MAX_SLOWNESS, "slowness")
    _check_range(map(abs, report.work_ratios.values()), MAX_OCTAVES, "work_ratios")
    _check_range(report.slowdowns.values(), MAX_SLOWNESS, "slowdowns")
    _check(
        all(
            len(counts) == 2 and min(counts) >= 0 and max(counts) <= MAX_COUNT
            for counts in report.outcomes.values()
        ),
        "outcomes",
    )
    _check_range([key.key for key in report.refusing], KEY_COUNT - 1, "refused key")
    _check(all(version >= 0 for version in report.tables.values()), "tables")
    _check_range(report.leaving_upstreams.values(), MAX_BORN_MS, "leaving_upstreams")
    _check_range(map(len, report.backed_off), MAX_NAME_LENGTH, "backed_off")
    _check_range(report.silences.values(), MAX_COUNT, "silences")
    _check_range(map(len, report.silences), MAX_NAME_LENGTH, "silences")
    _check_range([len(report.silences)], MAX_SILENT_SERVICES, "silences")
    _check_crashes(report.crashes)
    _check_limits(report.limits)
    _check_range([limit.waiting for limit in report.limits], MAX_COUNT, "waiting")
    _check(len(report.accounts) <= MAX_ACCOUNTS, "number of accounts")
    for account in report.accounts:
        _check(0 < len(account.account) <= MAX_NAME_LENGTH, "name of an account")
        counts = (account.wanted, account.waiting, account.held, account.returned)
        _check_range(counts, MAX_COUNT, "tokens of an account")
    times = report.accounts_at, report.accounts_heard, report.accounts_own_until
    _check_range(times, MAX_CLOCK_S, "accounts")
    _check_ranks(report.ranks)
    for item in report.ranks:
        requests = [item.asked, item.cut, item.served, item.refused]
        _check_range(requests, MAX_COUNT, "requests by rank")
    _check_room(report.room, report.room_asked_at, report.room_version)
    for units in (report.room_wants, report.room_waiting, report.room_full):
        _check_counts(units, "room")
    _check_counts(report.room_queues, "room_queues")
    _check_range(map(len, report.room_avoided), MAX_NAME_LENGTH, "room_avoided")
    _check(
        not report.relay_address or _is_address(report.relay_address), "relay_address"
    )


def check_notice(notice: CoordinatorNotice) -> None:
    """
    Check a coordinator's notice with its changes unpacked.

    Parameters
    ----------
    notice : CoordinatorNotice
        Notice as decoded.

    Raises
    ------
    MalformedMessageError
        If a value is out of its range.
    """
    _check(notice.epoch >= 0, "epoch")
    _check(notice.map_version >= 0, "map_version")
    _check_range([notice.sent_at], MAX_CLOCK_S, "sent_at")
    _check_range([notice.members, notice.rank], MAX_COUNT, "members or rank")
    durations_s = [notice.hold_s, notice.removals_wait_s]
    durations_s += [change.free_in_s for change in notice.changes]
    _check_range(durations_s, MAX_DURATION_S, "duration")
    _check_range(notice.slowness.values(), MAX_SLOWNESS, "slowness")
    # The store may not have answered the coordinator for any time.
    _check_range([change.age_s for change in notice.tables], inf, "age of a table")
    _check(
        all(change.after >= 0 and change.version >= 0 for change in notice.tables),
        "table versions",
    )
    _check(all(map(_is_key_range, notice.changes)), "key range")
    _check(all(map(_is_address, notice.relays)), "relays")
    _check(all(map(_is_address, notice.peers)), "peers")
    _check(len(notice.peers) <= MAX_PEERS, "number of peers")
    _check(not notice.address or _is_address(notice.address), "address")
    _check_room(notice.room, notice.room_asked_at, notice.room_version)
    _check_counts(notice.room_services, "room_services")
    _check_range(map(len, notice.silent_services), MAX_NAME_LENGTH, "silent services")
    _check_range([len(notice.silent_services)], MAX_SILENT_SERVICES, "silent services")
    _check_crashes(notice.crashes)
    _check_limits(notice.quotas)
    _check_range([quota.permits for quota in notice.quotas], MAX_PERMITS, "permits")
    waits_s = [quota.wait_s for quota in notice.quotas]
    _check_range(waits_s, MAX_PERMIT_WAIT_S, "wait for a permit")
    _check(len(notice.accounts) <= MAX_ACCOUNTS, "number of accounts")
    for account in notice.accounts:
        _check(0 < len(account.account) <= MAX_NAME_LENGTH, "name of an account")
        _check_range((account.tokens,), MAX_COUNT, "tokens of an account")
        _check_range((account.level,), 1.0, "level of an account")
        _check_range((account.wait_s,), MAX_PERMIT_WAIT_S, "wait for a token")
    _check_range((notice.accounts_at,), MAX_CLOCK_S, "accounts")
    _check_ranks(notice.rank_shares)
    _check_range([item.share for item in notice.rank_shares], 1.0, "share of a rank")


def _check_room(units: Mapping[str, int], asked_at: float, version: int) -> None:
    _check_counts(units, "room")
    _check_range([asked_at], MAX_CLOCK_S, "room_asked_at")
    _check_range([version], MAX_VERSION, "room_version")


def _check_counts(counts: Mapping[str, float], name: str) -> None:
    _check(len(counts) <= MAX_ROOMS, f"number of entries in {name}")
    _check_range(map(len, counts), MAX_NAME_LENGTH, f"names in {name}")
    _check_range(counts.values(), MAX_COUNT, name)


def _check_load(load: KeyLoad) -> None:
    _check(len(load.keys) == len(load.work_ms), "lengths of a key load")
    _check_range(load.keys, KEY_COUNT - 1, "key")
    _check_range(load.work_ms, MAX_WORK_MS, "work_ms")


def _check_crashes(crashes: Sequence[CrashRecord]) -> None:
    _check(len(crashes) <= MAX_CRASH_RECORDS, "number of crash records")
    for crash in crashes:
        upstreams = [*crash.upstreams, *crash.cleared]
        names = [crash.service, crash.fingerprint, *upstreams]
        _check(len(upstreams) <= MAX_CRASHED_UPSTREAMS, "crashed upstreams")
        _check_range(map(len, names), MAX_NAME_LENGTH, "names of a crash record")


def _check_limits(limits: Sequence[LimitReport | Quota]) -> None:
    _check(len(limits) <= MAX_LIMITS, "number of limits")
    names = [len(limit.upstream) for limit in limits]
    _check_range(names, MAX_NAME_LENGTH, "upstream of a limit")
    _check_range([limit.born for limit in limits], MAX_BORN_MS, "start of a process")
    # A limit may have been named any time ago.
    _check_range([limit.age_s for limit in limits], inf, "age of a limit")
    named = [limit.per_s for limit in limits if limit.per_s is not None]
    _check_range(named, MAX_LIMIT_PER_S, "limit")


def _check_ranks(ranks: Sequence[RankReport | RankShare]) -> None:
    _check(len(ranks) <= MAX_RANKS, "number of ranks")
    _check_range([len(item.service) for item in ranks], MAX_NAME_LENGTH, "service")
    priorities = [value for item in ranks for value in (item.account, item.route)]
    _check_range(map(abs, priorities), MAX_COUNT, "rank")


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return bool(host) and is_port and 0 < int(port) <= MAX_PORT


def _is_key_range(change: MapChange) -> bool:
    return 0 <= change.first <= change.last < KEY_COUNT


def _check_range(values: Iterable[float], maximum: float, name: str) -> None:
    # A comparison with NaN is false.
    _check(all(0 <= value <= maximum for value in values), name)


def _check(is_valid: bool, name: str) -> None:
    if not is_valid:
        raise MalformedMessageError(f"{name} out of range")
