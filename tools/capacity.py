"""
Compute the tables of docs/CAPACITY.md from measured slopes.

Usage: ``python tools/capacity.py`` rewrites the tables between the markers of the
page; with ``--check`` it fails if they are out of date. docs/capacity.toml contains
the slopes, each with the command that measured it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from sys import argv
from sys import exit as exit_process
from tomllib import loads

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity.toml"
BEGIN = "<!-- begin: written by tools/capacity.py -->"
END = "<!-- end -->"
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, kw_only=True)
class Target:
    """Required size of the system, and limits of the control plane set by the users."""

    instances: int = 17_000
    keys: float = 18e9
    requests_per_s: float = 76e6
    regions: int = 6
    data_centres: int = 13
    changes_per_day: int = 95_000
    replaced_per_day: int = 930
    failed_per_day: int = 29
    control_core_share: float = 0.026
    control_memory_mb: float = 128.0
    control_bytes_per_s: float = 28_000.0
    table_writes_per_s: float = 300.0
    table_reads_per_s: float = 2_000.0


@dataclass(frozen=True, kw_only=True)
class TableRow:
    """A quantity at the target size, compared with its limit."""

    role: str
    quantity: str
    arithmetic: str
    value: float
    limit: float
    unit: str

    def render(self) -> str:
        """Render the row in Markdown."""
        result = "within" if self.value <= self.limit else "**breaks**"
        return (
            f"| {self.role} | {self.quantity} | {self.arithmetic} | "
            f"{_format(self.value)} {self.unit} | {_format(self.limit)} {self.unit} | "
            f"{result} |"
        )


def list_current_mechanisms(
    target: Target, slopes: dict[str, float]
) -> Iterator[TableRow]:
    """Yield the resource use of the current mechanisms at the target size."""
    instances = target.instances
    requests_per_s = target.requests_per_s / instances
    max_requests_per_s = 1.0 / slopes["router_s_per_request"]
    yield TableRow(
        role="entry and leader",
        quantity="requests/s per instance, one process",
        arithmetic=f"{target.requests_per_s:.3g} / {instances:,}",
        value=requests_per_s,
        limit=max_requests_per_s,
        unit="/s",
    )
    yield TableRow(
        role="mesh member",
        quantity="bytes/s with all instances as peers",
        arithmetic=f"{instances:,} x {slopes['bytes_per_s_per_peer']:.4g}",
        value=instances * slopes["bytes_per_s_per_peer"],
        limit=target.control_bytes_per_s,
        unit="B/s",
    )
    yield TableRow(
        role="mesh member",
        quantity="CPU share with all instances as peers",
        arithmetic=f"{instances:,} x {slopes['core_share_per_peer']:.3g}",
        value=instances * slopes["core_share_per_peer"],
        limit=target.control_core_share,
        unit="core",
    )
    yield TableRow(
        role="platform client",
        quantity="lease writes/s on the table",
        arithmetic=f"{instances:,} x {slopes['lease_writes_per_s']:.3g}",
        value=instances * slopes["lease_writes_per_s"],
        limit=target.table_writes_per_s,
        unit="/s",
    )
    yield TableRow(
        role="platform client",
        quantity="reads/s on the table by polling",
        arithmetic=f"{instances:,} x {slopes['table_reads_per_s']:.3g}",
        value=instances * slopes["table_reads_per_s"],
        limit=target.table_reads_per_s,
        unit="/s",
    )
    yield TableRow(
        role="leader",
        quantity="record writes/s, one busy shard per instance",
        arithmetic=f"{instances:,} x {slopes['record_writes_per_s']:.3g}",
        value=instances * slopes["record_writes_per_s"],
        limit=target.table_writes_per_s,
        unit="/s",
    )
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    document_bytes = instances * slopes["configuration_bytes_per_upstream"]
    yield TableRow(
        role="configuration reader",
        quantity="bytes/s, whole document at each change",
        arithmetic=(
            f"{changes_per_s:.2f}/s x {instances:,} x "
            f"{slopes['configuration_bytes_per_upstream']:.3g}"
        ),
        value=changes_per_s * document_bytes,
        limit=target.control_bytes_per_s,
        unit="B/s",
    )


def list_replacement_mechanisms(
    target: Target, slopes: dict[str, float]
) -> Iterator[TableRow]:
    """Yield the resource use of the replacement mechanisms at the target size."""
    peers = slopes["peers_with_scope"]
    base_core_share = (
        slopes["idle_core_share"] - slopes["core_share_per_peer"] * slopes["idle_peers"]
    )
    base_bytes_per_s = (
        slopes["idle_bytes_per_s"]
        - slopes["bytes_per_s_per_peer"] * slopes["idle_peers"]
    )
    yield TableRow(
        role="mesh member",
        quantity=f"bytes/s with {peers:.0f} peers in scope",
        arithmetic=(
            f"{base_bytes_per_s:.4g} + {peers:.0f} x "
            f"{slopes['bytes_per_s_per_peer']:.4g}"
        ),
        value=base_bytes_per_s + peers * slopes["bytes_per_s_per_peer"],
        limit=target.control_bytes_per_s,
        unit="B/s",
    )
    yield TableRow(
        role="all roles, idle",
        quantity=f"CPU share with {peers:.0f} peers in scope",
        arithmetic=(
            f"{base_core_share:.3g} + {peers:.0f} x {slopes['core_share_per_peer']:.3g}"
        ),
        value=base_core_share + peers * slopes["core_share_per_peer"],
        limit=target.control_core_share,
        unit="core",
    )
    yield TableRow(
        role="all roles",
        quantity="memory of an instance",
        arithmetic=(
            f"{slopes['idle_memory_mb']:.4g} + {slopes['records_kept']:.3g} x "
            f"{slopes['bytes_per_record']:.4g} B"
        ),
        value=slopes["idle_memory_mb"]
        + slopes["records_kept"] * slopes["bytes_per_record"] / 1e6,
        limit=target.control_memory_mb,
        unit="MB",
    )
    group_size = slopes["lease_group"]
    yield TableRow(
        role="platform client",
        quantity="lease writes/s per regional table, grouped",
        arithmetic=(
            f"{target.instances:,} / {target.regions} / {group_size:.0f} x "
            f"{slopes['lease_writes_per_s']:.3g}"
        ),
        value=target.instances
        / target.regions
        / group_size
        * slopes["lease_writes_per_s"],
        limit=target.table_writes_per_s,
        unit="/s",
    )
    yield TableRow(
        role="platform client",
        quantity="reads/s per regional table, one reader per group",
        arithmetic=(
            f"{target.instances:,} / {target.regions} / {group_size:.0f} x "
            f"{slopes['table_reads_per_s']:.3g}"
        ),
        value=target.instances
        / target.regions
        / group_size
        * slopes["table_reads_per_s"],
        limit=target.table_reads_per_s,
        unit="/s",
    )
    expired_leases = target.instances / target.data_centres / group_size
    yield TableRow(
        role="platform client",
        quantity="takeover writes when a data centre is lost",
        arithmetic=(
            f"{target.instances:,} / {target.data_centres} / {group_size:.0f}, "
            "within 1 s"
        ),
        value=expired_leases,
        limit=target.table_writes_per_s,
        unit="/s",
    )
    changes_per_s = target.changes_per_day / SECONDS_PER_DAY
    yield TableRow(
        role="configuration reader",
        quantity="bytes/s, one row for each change",
        arithmetic=(
            f"{changes_per_s:.2f}/s x {slopes['configuration_change_bytes']:.3g}"
        ),
        value=changes_per_s * slopes["configuration_change_bytes"],
        limit=target.control_bytes_per_s,
        unit="B/s",
    )


def render_tables(slopes: dict[str, float]) -> str:
    """Render both tables with their headings and markers."""
    target = Target()
    head = (
        "| role | quantity | arithmetic | at the target | limit | |\n"
        "|---|---|---|---|---|---|"
    )
    current = "\n".join(row.render() for row in list_current_mechanisms(target, slopes))
    replacement = "\n".join(
        row.render() for row in list_replacement_mechanisms(target, slopes)
    )
    return (
        f"{BEGIN}\n\n### Today's mechanisms at the target\n\n{head}\n{current}\n\n"
        f"### The replacing mechanisms at the target\n\n{head}\n{replacement}\n\n{END}"
    )


def main() -> None:
    """Write the tables, or check that they are up to date."""
    entries = loads(SLOPES.read_text())
    slopes = {name: float(entry["value"]) for name, entry in entries.items()}
    page = PAGE.read_text()
    before, rest = page.split(BEGIN)
    _, after = rest.split(END)
    new_page = before + render_tables(slopes) + after
    if "--check" in argv:
        if new_page != page:
            exit_process(f"{PAGE.name} is out of date: run tools/capacity.py")
        return
    PAGE.write_text(new_page)


def _format(value: float) -> str:
    return f"{value:,.0f}" if value >= 100 else f"{value:.3g}"


if __name__ == "__main__":
    main()
