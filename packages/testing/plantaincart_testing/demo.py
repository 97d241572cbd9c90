"""
Demonstration of a local system under load while parts of it fail.

Run ``python -m plantaincart_testing.demo --help`` for its options.
"""

from asyncio import create_subprocess_exec, run, sleep
from pathlib import Path
from sys import executable
from sys import exit as exit_process
from tempfile import mkdtemp
from time import monotonic

from cyclopts import App
from plantaincart_router.exception import PlatformUnavailableError
from plantaincart_router.platform.table import HttpTable
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.platform import ShardLease
from rich.console import Console

from plantaincart_testing.balancer import ReadinessBalancer
from plantaincart_testing.checker import check_history
from plantaincart_testing.client import Caller
from plantaincart_testing.demo_load import DemoLoad
from plantaincart_testing.demo_report import DemoEvent, DemoReport, render_report
from plantaincart_testing.exception import StartError
from plantaincart_testing.finding import list_executions
from plantaincart_testing.history import Event
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.up import (
    InstancesOption,
    ShapeName,
    choose_options,
    make_console,
    wait_until_served,
    write_platform_file,
)

__all__ = ["main"]

STEADY_LOAD_S = 6.0
AFTER_FAILURE_S = 6.0
AFTER_RESTART_S = 5.0
OUT_OF_SERVICE_S = 7.0
SHEET_TIMEOUT_S = 10.0
"""Maximum time until a sheet is in force on every instance."""
DRAIN_GRACE_S = 3.0
"""Time after which a data centre out of service must get no new requests."""
_NS_PER_S = 1_000_000_000

app = App(help="Show a whole system under load while parts of it fail.")


class Demo:
    """
    Runs the events of the demonstration one after another.

    Parameters
    ----------
    system : LocalSystem
        Running system.
    console : Console
        Console to print the events to.
    """

    def __init__(self, system: LocalSystem, console: Console) -> None:
        self._system = system
        self._console = console
        self._platform_file = write_platform_file(system)
        self._events: list[DemoEvent] = []
        self._keyed_service = next(
            service for service in system.layout.shape.services if service.keyed
        )
        self._out_of_service_span = (0.0, 0.0)

    async def run(self) -> DemoReport:
        """
        Run all events under load.

        Returns
        -------
        DemoReport
            Results, including the findings in the upstreams' histories.
        """
        layout = self._system.layout
        instances = layout.instances.values()
        balancer = ReadinessBalancer(
            {instance.entry: instance.admin for instance in instances}
        )
        balancer.start()
        caller = Caller(balancer)
        load = DemoLoad(layout.shape, caller)
        load.start()
        try:
            await self._run_events()
            ended_at = monotonic()
            await load.stop()
        finally:
            balancer.close()
            caller.close()
        history = self._system.read_history()
        unkeyed = [
            service.name for service in layout.shape.services if not service.keyed
        ]
        return DemoReport(
            events=self._events,
            ended_at=ended_at,
            lookups=load.lookups,
            filings=load.filings,
            findings=check_history(history, caller.results, unkeyed),
            late_executions=self._count_late_executions(history),
        )

    async def _run_events(self) -> None:
        await self._wait_for(
            f"all {len(self._system.layout.instances)} instances", STEADY_LOAD_S
        )
        upstream_name = next(
            upstream.name
            for upstream in self._system.layout.upstreams.values()
            if upstream.service is self._keyed_service
        )
        self._start_event(f"upstream {upstream_name} killed")
        await self._stop_upstream(upstream_name)
        await sleep(AFTER_FAILURE_S)
        self._start_event(f"upstream {upstream_name} started, cold")
        await self._start_upstream(upstream_name)
        await sleep(AFTER_RESTART_S)
        leader = await self._find_leader()
        self._start_event(f"instance {leader}, a leader, killed")
        self._system.kill(leader)
        await sleep(AFTER_FAILURE_S)
        self._start_event(f"instance {leader} started")
        await self._system.restart(leader, wait=False)
        await sleep(AFTER_RESTART_S)
        await self._take_data_centre_out_and_back()

    async def _take_data_centre_out_and_back(self) -> None:
        name = self._system.layout.shape.data_centres[-1]
        self._start_event(f"data centre {name} out by sheet")
        await self._apply_sheet(name, "out")
        applied_at = monotonic()
        await sleep(OUT_OF_SERVICE_S)
        self._out_of_service_span = (applied_at + DRAIN_GRACE_S, monotonic())
        self._start_event(f"data centre {name} back by sheet")
        await self._apply_sheet(name, "in")
        await sleep(OUT_OF_SERVICE_S)

    async def _stop_upstream(self, name: str) -> None:
        if self._system.options.upstreams_per_process == 1:
            self._system.kill(name)
        else:
            await self._system.control_upstream(name).stop(name)

    async def _start_upstream(self, name: str) -> None:
        if self._system.options.upstreams_per_process == 1:
            await self._system.restart(name, wait=False)
        else:
            await self._system.control_upstream(name).start(name)

    async def _wait_for(self, title: str, seconds: float) -> None:
        self._start_event(title)
        await sleep(seconds)

    def _start_event(self, title: str) -> None:
        self._events.append(DemoEvent(title, monotonic()))
        self._console.print(title)

    async def _apply_sheet(self, data_centre: str, action: str) -> None:
        path = self._system.folder / f"{action}.csv"
        path.write_text(f"kind,name,action\ndata_centre,{data_centre},{action}\n")
        command = ["sheet", "apply", str(path), "--wait", str(SHEET_TIMEOUT_S)]
        process = await create_subprocess_exec(
            executable,
            "-m",
            "plantaincart_operator",
            *command,
            "--platform",
            str(self._platform_file),
        )
        status = await process.wait()
        if status:
            raise StartError(f"plantaincart {' '.join(command)}: exit code {status}")

    async def _find_leader(self) -> str:
        address = self._system.layout.platform
        key = f"shards/{self._keyed_service.name}/0"
        table = HttpTable(address.host, address.port, 1.0)
        try:
            row = (await table.read([key])).get(key)
        except PlatformUnavailableError as error:
            raise StartError(f"no leader found: {error}") from error
        finally:
            table.close()
        if row is None:
            raise StartError(f"no row {key}")
        return decode_json(row.value, ShardLease).leader

    def _count_late_executions(self, history: list[Event]) -> int:
        starts_at, ends_at = (int(at * _NS_PER_S) for at in self._out_of_service_span)
        layout = self._system.layout
        data_centre = layout.shape.data_centres[-1]
        return sum(
            starts_at <= execution.begin.at_ns < ends_at
            and layout.upstreams[execution.begin.upstream].data_centre == data_centre
            for execution in list_executions(history)
        )


@app.default
def main(*, instances: InstancesOption = None, shape: ShapeName = "small") -> None:
    """
    Run the demonstration; exits with 0 only if no rule was broken.

    Parameters
    ----------
    shape : str
        Services, data centres, upstreams and delays.
    """
    folder = Path(mkdtemp(prefix="plantaincart-demo-"))
    console = make_console()
    report = run(_run_demo(folder, shape, instances, console))
    render_report(report, console)
    console.print(f"logs and histories: {folder}", soft_wrap=True)
    exit_process(0 if report.has_passed else 1)


async def _run_demo(
    folder: Path, shape: ShapeName, instances: int | None, console: Console
) -> DemoReport:
    console.print("starting ...")
    async with LocalSystem(choose_options(shape, instances, folder)) as system:
        await wait_until_served(system)
        return await Demo(system, console).run()


if __name__ == "__main__":
    app()
