"""Compact encoding of a positive factor for each of many names."""

from collections.abc import Iterable, Mapping
from math import log2

from plantaincart_core.loadcodec import pack_loads, unpack_loads

__all__ = ["pack_factors", "unpack_factors"]

# A byte holds the logarithm in sixteenths of an octave, from 1/128 to 2**7.9.
STEPS_PER_OCTAVE = 16
NEUTRAL_STEP = 128
MAX_STEP = 255


def pack_factors(factors: Mapping[str, float]) -> bytes:
    """
    Encode a factor for each name.

    Parameters
    ----------
    factors : mapping of str to float
        Positive numbers by name; those outside of the range are limited to it.

    Returns
    -------
    bytes
        Four bytes for each name.

    Examples
    --------
    >>> data = pack_factors({"u1": 0.6, "u2": 5.0})
    >>> {name: round(factor, 2) for name, factor in
    ...     unpack_factors(data, ["u1", "u2", "u3"]).items()}
    {'u1': 0.59, 'u2': 4.97}
    """
    return pack_loads({name: _encode(factor) for name, factor in factors.items()})


def unpack_factors(data: bytes, names: Iterable[str]) -> dict[str, float]:
    """
    Decode the factors of names.

    Parameters
    ----------
    data : bytes
        Result of `pack_factors`.
    names : iterable of str
        Names to decode.

    Returns
    -------
    dict of str to float
        Factor by name, without names that `data` omits.
    """
    return {
        name: 2.0 ** ((step - NEUTRAL_STEP) / STEPS_PER_OCTAVE)
        for name, step in unpack_loads(data, names).items()
        if step
    }


def _encode(factor: float) -> int:
    step = NEUTRAL_STEP + round(STEPS_PER_OCTAVE * log2(max(factor, 1e-9)))
    return min(max(step, 1), MAX_STEP)
