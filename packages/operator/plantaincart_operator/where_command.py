"""Command that shows where a request would go now."""

from typing import Annotated

from cyclopts import Parameter

from plantaincart_operator.exception import OperatorError, UsageError
from plantaincart_operator.exit_code import ExitCode
from plantaincart_operator.option import OutputOption, finish_command
from plantaincart_operator.output import Output, Report
from plantaincart_operator.where import InstanceAddress, WhereQuestion, ask_instances
from plantaincart_operator.wherereport import InstanceExplanation, WhereReport

__all__ = ["show_where"]

HeaderOption = Annotated[
    list[str] | None,
    Parameter(
        name="--header",
        negative="",
        help="Header field of the request, NAME:VALUE; may be repeated.",
    ),
]


async def show_where(
    address: str,
    method: str,
    url: str,
    /,
    *,
    header: HeaderOption = None,
    service: str = "",
    output: OutputOption = Output.TEXT,
) -> ExitCode:
    """
    Show where a request would go now, and why, without sending it.

    Parameters
    ----------
    address : str
        Metrics address of an instance, HOST or HOST:PORT; several, separated by commas,
        are compared.
    method : str
        Method of the request.
    url : str
        URL of the request, with the host to which callers send it.
    service : str
        Only this service of the route.
    """

    async def run() -> Report:
        names = [name for name in address.split(",") if name]
        if not names:
            raise UsageError("an address is expected")
        addresses = [InstanceAddress.parse(name) for name in names]
        question = WhereQuestion.parse(method, url, header or [], service)
        answers = await ask_instances(addresses, question)
        errors = [answer for answer in answers if isinstance(answer, OperatorError)]
        if len(errors) == len(answers):
            raise ExceptionGroup("no instance has answered", errors)
        instances = [
            InstanceExplanation(address=str(name), problem=str(answer))
            if isinstance(answer, OperatorError)
            else InstanceExplanation(address=str(name), explanation=answer)
            for name, answer in zip(addresses, answers, strict=True)
        ]
        return WhereReport(instances=tuple(instances))

    return await finish_command(run(), output)
