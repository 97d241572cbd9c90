"""State of the whole system, read from its instances and the table."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

from plantaincart_router.exception import PlatformRefusedError, PlatformUnavailableError
from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.configuration import Configuration
from plantaincart_schema.generated.platform import ShardLease
from plantaincart_schema.generated.status import ShardStatus, UpstreamStatus
from rich.console import Console
from rich.table import Table as TextTable

from plantaincart_operator.exception import UnavailableError
from plantaincart_operator.output import Report
from plantaincart_operator.platform import InstanceReport, Platform
from plantaincart_operator.store import ConfigurationStore

__all__ = ["SystemReport", "read_system"]


@dataclass(frozen=True, kw_only=True)
class SystemReport(Report):
    """
    Current state of the instances, shards and upstreams.

    Parameters
    ----------
    table_problem : str
        Reason why the table couldn't be read; empty if it was read.
    configuration : Configuration or None
        Configuration in force, from the table; None if the table couldn't be read.
    shards : tuple of ShardLease
        Shard rows of the table.
    instances : tuple of InstanceReport
        Status of each listed instance.
    """

    table_problem: str
    configuration: Configuration | None
    shards: tuple[ShardLease, ...]
    instances: tuple[InstanceReport, ...]

    def render(self, console: Console) -> None:
        """Print tables of the instances, shards, upstreams and services."""
        self._render_configuration(console)
        console.print(self._build_instance_table())
        console.print(self._build_shard_table())
        console.print(self._build_upstream_table())
        console.print(self._build_service_table())
        for instance, quarantine in self._list_quarantined():
            console.print(f"quarantined on {instance}: {quarantine}", markup=False)

    def _render_configuration(self, console: Console) -> None:
        if self.table_problem:
            console.print(f"table: {self.table_problem}", markup=False)
        elif self.configuration is not None:
            current = self.configuration
            console.print(f"configuration {current.version} by {current.applied_by}")
            for data_centre in current.data_centres:
                state = "in service" if data_centre.in_service else "out of service"
                console.print(f"  data centre {data_centre.name}: {state}")

    def _build_instance_table(self) -> TextTable:
        columns = ("instance", "data centre", "list", "ready", "configuration")
        table = _create_table(*columns, "table", "lease", "peers", "leads")
        for report in self.instances:
            entry, status = report.entry, report.status
            entry_cells = (entry.name, entry.data_centre, entry.state.value)
            if status is None:
                table.add_row(*entry_cells, report.problem)
                continue
            live = sum(peer.live for peer in status.peers)
            table.add_row(
                *entry_cells,
                "leaving" if status.leaving else _format_flag(status.ready),
                str(status.configuration_version),
                "reachable" if status.table_reachable else "unreachable",
                f"{status.lease_remaining_s:.2f} s" if status.lease_held else "none",
                f"{live}/{len(status.peers)}",
                str(len(status.shards)),
            )
        return table

    def _build_shard_table(self) -> TextTable:
        columns = ("shard", "leader", "epoch", "assignment", "state", "queue")
        table = _create_table(*columns, "successors")
        reported = {
            (shard.service, shard.shard) for _, shard in self._list_led_shards()
        }
        for leader, shard in self._list_led_shards():
            table.add_row(
                f"{shard.service}/{shard.shard}",
                leader,
                str(shard.epoch),
                str(shard.assignment_version),
                _describe_serving(shard),
                str(shard.queue),
                ", ".join(shard.successors),
            )
        for lease in self.shards:
            if (lease.service, lease.shard) not in reported:
                cells = (f"{lease.service}/{lease.shard}", lease.leader or "none")
                versions = (str(lease.epoch), str(lease.assignment_version))
                table.add_row(*cells, *versions, "not reported by its leader")
        return table

    def _build_upstream_table(self) -> TextTable:
        columns = ("upstream", "shard", "data centre", "state", "slots", "fence")
        table = _create_table(*columns, "in flight", "allowed", "notes")
        for _, shard in self._list_led_shards():
            for upstream in shard.upstreams:
                table.add_row(
                    upstream.name,
                    f"{shard.service}/{shard.shard}",
                    upstream.data_centre,
                    upstream.state.value,
                    str(upstream.granted_slots),
                    upstream.fence,
                    str(upstream.in_flight),
                    f"{upstream.allowed}/{upstream.limit}",
                    _describe_upstream(upstream),
                )
        return table

    def _build_service_table(self) -> TextTable:
        table = _create_table("service", "requests", "ran", "may have run", "not run")
        totals: dict[str, list[int]] = {}
        for report in self.instances:
            for service in report.status.services if report.status else ():
                total = totals.setdefault(service.name, [0, 0, 0, 0])
                counts = (
                    service.requests,
                    service.ran,
                    service.may_have_run,
                    service.not_run,
                )
                totals[service.name] = [
                    a + b for a, b in zip(total, counts, strict=True)
                ]
        for name, total in sorted(totals.items()):
            table.add_row(name, *(str(count) for count in total))
        return table

    def _list_led_shards(self) -> list[tuple[str, ShardStatus]]:
        shards = [
            (report.entry.name, shard)
            for report in self.instances
            if report.status is not None
            for shard in report.status.shards
        ]
        return sorted(
            shards, key=lambda pair: (pair[1].service, pair[1].shard, pair[0])
        )

    def _list_quarantined(self) -> Iterator[tuple[str, str]]:
        for report in self.instances:
            for quarantine in report.status.quarantined if report.status else ():
                crashed = ", ".join(quarantine.upstreams)
                text = f"{quarantine.service} {quarantine.fingerprint} after {crashed}"
                yield report.entry.name, f"{text}, for {quarantine.remaining_s:.0f} s"


async def read_system(platform: Platform) -> SystemReport:
    """
    Read the state of the whole system.

    Parameters
    ----------
    platform : Platform
        Client of the platform.

    Returns
    -------
    SystemReport
        State of the system; incomplete if the table couldn't be read.

    Raises
    ------
    UnavailableError
        If the platform's instance list can't be read.
    """
    instances = tuple(await platform.read_statuses())
    problem = ""
    configuration = None
    shards: tuple[ShardLease, ...] = ()
    try:
        state = await ConfigurationStore(platform.table).read_state()
        configuration = state.configuration
        shards = await _read_shards(platform)
    except UnavailableError as error:
        problem = str(error)
    return SystemReport(
        table_problem=problem,
        configuration=configuration,
        shards=shards,
        instances=instances,
    )


async def _read_shards(platform: Platform) -> tuple[ShardLease, ...]:
    try:
        rows = await platform.table.scan("shards/")
        leases = [decode_json(row.value, ShardLease) for row in rows.values()]
    except (
        PlatformUnavailableError,
        PlatformRefusedError,
        MalformedMessageError,
    ) as error:
        raise UnavailableError(f"table: {error}") from None
    return tuple(sorted(leases, key=lambda lease: (lease.service, lease.shard)))


def _create_table(*columns: str) -> TextTable:
    table = TextTable(*columns, box=None, pad_edge=False, header_style="bold")
    for column in table.columns:
        column.overflow = "fold"
    return table


def _format_flag(value: bool) -> str:
    return "yes" if value else "no"


def _describe_serving(shard: ShardStatus) -> str:
    if not shard.serving:
        return "not serving"
    return "serving under promises" if shard.continuing else "serving"


def _describe_upstream(upstream: UpstreamStatus) -> str:
    conditions: Iterable[tuple[bool, str]] = (
        (not upstream.reachable, "unreachable"),
        (upstream.reachable and not upstream.warm, "warming up"),
        (upstream.straggling, "straggling"),
    )
    return ", ".join(chain(note for is_true, note in conditions if is_true))
