"""Log events and their text format: lines of key=value pairs."""

from collections.abc import Mapping
from dataclasses import dataclass
from json import dumps, loads
from re import compile as compile_pattern

from plantaincart_schema.exception import MalformedMessageError

__all__ = ["LogEvent", "format_line", "parse_line"]

_FIXED_FIELDS = ("clock", "time", "instance", "incarnation", "event")
_UNQUOTED_VALUE = compile_pattern(r"[^\s\"=\\\x00-\x1f\x7f]+")
_PAIR = compile_pattern(r"([A-Za-z0-9_.:-]+)=(\"(?:[^\"\\]|\\.)*\"|[^\s\"]+)(?: |$)")


@dataclass(frozen=True, kw_only=True)
class LogEvent:
    """
    One line of a log.

    Parameters
    ----------
    clock : int
        Time of the hybrid logical clock; orders events of all processes.
    time : str
        UTC time in ISO 8601.
    instance, incarnation : str
        Process that wrote the line.
    event : str
        Kind of the event.
    fields : mapping of str to str
        Further pairs of the line.
    """

    clock: int
    time: str
    instance: str
    incarnation: str
    event: str
    fields: Mapping[str, str]


def format_line(event: LogEvent) -> str:
    r"""
    Format an event as one line.

    Parameters
    ----------
    event : LogEvent
        Event to format.

    Returns
    -------
    str
        Pairs key=value separated by spaces, without the newline. A value with
        white space, quotes, backslashes, an equals sign or control characters is
        written as a JSON string.

    Examples
    --------
    >>> event = LogEvent(
    ...     clock=7, time="now", instance="r1", incarnation="x", event="started",
    ...     fields={"detail": "two words"},
    ... )
    >>> format_line(event)
    'clock=7 time=now instance=r1 incarnation=x event=started detail="two words"'
    """
    fixed_values = (
        str(event.clock),
        event.time,
        event.instance,
        event.incarnation,
        event.event,
    )
    pairs = [
        f"{name}={_quote(value)}"
        for name, value in zip(_FIXED_FIELDS, fixed_values, strict=True)
    ]
    for name, value in event.fields.items():
        key = f"{name}_" if name in _FIXED_FIELDS else name
        pairs.append(f"{key}={_quote(value)}")
    return " ".join(pairs)


def parse_line(line: str) -> LogEvent:
    """
    Parse a line written by `format_line`.

    Parameters
    ----------
    line : str
        Line with or without its newline.

    Returns
    -------
    LogEvent
        The event.

    Raises
    ------
    MalformedMessageError
        If the line isn't in this format.
    """
    text = line.rstrip("\n")
    fields: dict[str, str] = {}
    start = 0
    while start < len(text):
        match = _PAIR.match(text, start)
        if match is None:
            raise MalformedMessageError(f"log line: no key=value at column {start + 1}")
        fields[match[1]] = _unquote(match[2])
        start = match.end()
    try:
        clock, time, instance, incarnation, event = (
            fields.pop(name) for name in _FIXED_FIELDS
        )
        return LogEvent(
            clock=int(clock),
            time=time,
            instance=instance,
            incarnation=incarnation,
            event=event,
            fields=fields,
        )
    except (KeyError, ValueError) as error:
        raise MalformedMessageError(f"log line: {error}") from error


def _quote(value: str) -> str:
    return value if _UNQUOTED_VALUE.fullmatch(value) else dumps(value)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(loads(value))
    except ValueError as error:
        raise MalformedMessageError(f"log line: {error}") from error
