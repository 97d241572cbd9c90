"""Comparable dump of the state of objects, to show that nothing has changed."""

from asyncio import Event, Future, Task, TimerHandle
from collections import deque
from collections.abc import Mapping
from enum import Enum
from random import Random

OPAQUE = (Event, Future, Task, TimerHandle, type)


def dump_state(value, seen=None):
    """Return nested tuples with all that an object holds, each object once."""
    seen = set() if seen is None else seen
    if value is None or isinstance(value, bool | int | float | str | bytes | Enum):
        return value
    if isinstance(value, OPAQUE) or callable(value):
        return type(value).__name__
    if id(value) in seen:
        return "seen"
    seen.add(id(value))
    if isinstance(value, Random):
        return value.getstate()
    if isinstance(value, Mapping):
        return tuple(
            (dump_state(key, seen), dump_state(item, seen))
            for key, item in value.items()
        )
    if isinstance(value, list | tuple | deque):
        return tuple(dump_state(item, seen) for item in value)
    if isinstance(value, set | frozenset):
        return tuple(sorted(repr(item) for item in value))
    names = list(getattr(value, "__dict__", {}))
    for base in type(value).__mro__:
        slots = getattr(base, "__slots__", ())
        names += [slots] if isinstance(slots, str) else slots
    if not names:
        return repr(value)
    return type(value).__name__, tuple(
        (name, dump_state(getattr(value, name), seen))
        for name in sorted(set(names))
        if hasattr(value, name)
    )
