"""The command plantaincartd."""

from asyncio import Event, Runner, get_running_loop
from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import exit, stderr
from typing import Annotated

from cyclopts import App, Parameter
from plantaincart_schema.document import read_settings
from plantaincart_schema.generated.settings import Settings
from uvloop import new_event_loop

from plantaincart_router.instance import Instance
from plantaincart_router.shutdown import stop_gracefully

__all__ = ["main"]

EXIT_INVALID_SETTINGS = 1

app = App(
    name="plantaincartd",
    help="Route requests to the upstreams that own their keys.",
    help_format="plaintext",
)


@app.default
def run(settings: Annotated[Path, Parameter(name="--settings")]) -> None:
    """
    Run an instance until SIGTERM or SIGINT, which stop it gracefully.

    Parameters
    ----------
    settings : Path
        TOML file with the settings of the instance.
    """
    try:
        checked = read_settings(settings.read_text(), str(settings))
    except OSError as error:
        print(f"{settings}: {error.strerror}", file=stderr)
        exit(EXIT_INVALID_SETTINGS)
    except ExceptionGroup as group:
        for invalid in group.exceptions:
            print(invalid, file=stderr)
        exit(EXIT_INVALID_SETTINGS)
    with Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run_instance(checked))


async def _run_instance(settings: Settings) -> None:
    stopped = Event()
    loop = get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stopped.set)
    instance = Instance(settings)
    try:
        await instance.start()
        await stopped.wait()
        await stop_gracefully(instance)
    finally:
        instance.close()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
