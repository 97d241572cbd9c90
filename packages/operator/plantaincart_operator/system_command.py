"""Commands that show the state and the logs of the system."""

from datetime import datetime
from pathlib import Path

from plantaincart_operator.exit_code import ExitCode
from plantaincart_operator.explain import explain_request, read_events
from plantaincart_operator.key import find_key
from plantaincart_operator.option import (
    OutputOption,
    PlatformOption,
    finish_command,
)
from plantaincart_operator.output import Output, Report
from plantaincart_operator.platform import Platform
from plantaincart_operator.settings import load_operator_settings
from plantaincart_operator.status import read_system
from plantaincart_operator.timeline import EventFilter, build_timeline, list_logs

__all__ = ["show_key", "show_request", "show_status", "show_timeline"]


async def show_status(
    *,
    platform: PlatformOption = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """Show instances, shards, leaders, upstreams, limits, warm-up and the table."""

    async def run() -> Report:
        async with Platform(load_operator_settings(platform)) as opened_platform:
            return await read_system(opened_platform)

    return await finish_command(run(), output)


async def show_key(
    service: str,
    key: str,
    /,
    *,
    platform: PlatformOption = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """
    Show the slot, shard, leader, owner and grant of a key, and its dispatch state.

    Parameters
    ----------
    service : str
        Name of the service.
    key : str
        The key, as contained in a request.
    """

    async def run() -> Report:
        async with Platform(load_operator_settings(platform)) as opened_platform:
            return await find_key(opened_platform, service, key)

    return await finish_command(run(), output)


async def show_timeline(
    *logs: Path,
    request: str = "",
    key: str = "",
    service: str = "",
    shard: str = "",
    event: str = "",
    instance: str = "",
    since: datetime | None = None,
    until: datetime | None = None,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """
    Show the events of all processes in one time line.

    Parameters
    ----------
    logs : Path
        Log files, or folders of *.log files.
    request : str
        Only events of this request id.
    key : str
        Only events of this key.
    service : str
        Only events of this service.
    shard : str
        Only events of this shard: SERVICE/NUMBER or NUMBER.
    event : str
        Only events of this name.
    instance : str
        Only events of this instance.
    since : datetime
        Only events from this time on, ISO 8601; UTC without an offset.
    until : datetime
        Only events up to this time, ISO 8601; UTC without an offset.
    """

    async def run() -> Report:
        event_filter = EventFilter(
            request=request,
            key=key,
            service=service,
            shard=shard,
            event=event,
            instance=instance,
            since=since,
            until=until,
        )
        return build_timeline(list_logs(logs), event_filter)

    return await finish_command(run(), output)


async def show_request(
    request: str,
    /,
    *logs: Path,
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """
    Show the events of one request and the cause of its outcome.

    Parameters
    ----------
    request : str
        Request id.
    logs : Path
        Log files, or folders of *.log files; without any, standard input is read.
    """

    async def run() -> Report:
        return explain_request(request, read_events(logs))

    return await finish_command(run(), output)
