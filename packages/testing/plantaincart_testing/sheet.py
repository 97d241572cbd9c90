"""Runs of the operator's command against a local system."""

from asyncio import create_subprocess_exec
from asyncio.subprocess import PIPE, STDOUT
from sys import executable
from uuid import uuid4

from plantaincart_testing.exception import ControlError
from plantaincart_testing.system import LocalSystem
from plantaincart_testing.up import write_platform_file

__all__ = ["apply_sheet"]

APPLY_TIMEOUT_S = 5


async def apply_sheet(system: LocalSystem, *rows: str) -> None:
    """
    Apply a sheet with the operator's command and wait until it is in force.

    Parameters
    ----------
    system : LocalSystem
        A running system.
    *rows : str
        Header and rows of the sheet.

    Raises
    ------
    ControlError
        If the command fails; the message contains its output.
    """
    path = system.folder / f"sheet-{uuid4().hex}.csv"
    path.write_text("".join(f"{row}\n" for row in rows))
    platform = write_platform_file(system)
    command = ["-m", "plantaincart_operator", "sheet", "apply", str(path)]
    options = ["--platform", str(platform), "--wait", str(APPLY_TIMEOUT_S)]
    process = await create_subprocess_exec(
        executable, *command, *options, stdout=PIPE, stderr=STDOUT
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise ControlError(f"status {process.returncode}: {output.decode()}")
