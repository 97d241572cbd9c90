"""Encoding and type-checked decoding of the generated data classes."""

from dataclasses import MISSING, fields
from typing import Any, TypeVar
from zlib import decompressobj
from zlib import error as CompressionError  # noqa: N812

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder as JsonDecoder
from msgspec.json import Encoder as JsonEncoder
from msgspec.msgpack import Decoder as PackedDecoder
from msgspec.msgpack import Encoder as PackedEncoder

from plantaincart_schema.exception import MalformedMessageError

__all__ = [
    "decode_json",
    "decode_msgpack",
    "decompress",
    "encode_changed",
    "encode_json",
    "encode_msgpack",
]

T = TypeVar("T")
# Deeply nested input raises RecursionError.
_DECODING_ERRORS = (DecodeError, ValidationError, UnicodeDecodeError, RecursionError)

_json_encoder = JsonEncoder()
_packed_encoder = PackedEncoder()
_json_decoders: dict[type, JsonDecoder[Any]] = {}
_packed_decoders: dict[type, PackedDecoder[Any]] = {}
_defaults: dict[type, dict[str, object]] = {}


def encode_json(value: object) -> bytes:
    """
    Encode a data class as JSON; bytes become base64.

    Parameters
    ----------
    value : object
        Instance of a generated data class.

    Returns
    -------
    bytes
        UTF-8 JSON text.

    Examples
    --------
    >>> from plantaincart_schema.generated.platform import Condition
    >>> encode_json(Condition(key="a", version=1))
    b'{"key":"a","version":1}'
    """
    return _json_encoder.encode(value)


def decode_json(data: bytes, data_class: type[T]) -> T:
    """
    Decode JSON to a data class and check its types.

    Parameters
    ----------
    data : bytes
        UTF-8 JSON text.
    data_class : type
        Generated data class.

    Returns
    -------
    object
        Instance of `data_class`.

    Raises
    ------
    MalformedMessageError
        If the text isn't JSON or doesn't fit `data_class`.
    """
    decoder = _json_decoders.get(data_class)
    if decoder is None:
        decoder = _json_decoders[data_class] = JsonDecoder(data_class)
    try:
        return decoder.decode(data)  # type: ignore[no-any-return]
    except _DECODING_ERRORS as error:
        raise MalformedMessageError(f"{data_class.__name__}: {error}") from error


def encode_msgpack(value: object) -> bytes:
    """
    Encode a data class as MessagePack.

    Parameters
    ----------
    value : object
        Instance of a generated data class.

    Returns
    -------
    bytes
        MessagePack map of its fields.
    """
    return _packed_encoder.encode(value)


def encode_changed(value: Any) -> bytes:
    """
    Encode a data class as MessagePack, without the fields that have their default.

    `decode_msgpack` restores them, at an earlier or later build as well.

    Parameters
    ----------
    value : object
        Instance of a generated data class.

    Returns
    -------
    bytes
        MessagePack map of its other fields.

    Examples
    --------
    >>> from plantaincart_schema.generated.direct import LimitReport
    >>> report = LimitReport(upstream="u1", born=5, age_s=0.5)
    >>> data = encode_changed(report)
    >>> b"waiting" in data, decode_msgpack(data, LimitReport) == report
    (False, True)
    """
    data_class = type(value)
    defaults = _defaults.get(data_class)
    if defaults is None:
        defaults = _defaults[data_class] = _list_defaults(data_class)
    changed = {
        name: present
        for name, default in defaults.items()
        if (present := getattr(value, name)) != default
    }
    return _packed_encoder.encode(changed)


def _list_defaults(data_class: type) -> dict[str, object]:
    """Return the default of each field; MISSING, which equals nothing, for none."""
    return {
        item.name: item.default
        if item.default_factory is MISSING
        # Not shared with any instance, and never changed.
        else item.default_factory()
        for item in fields(data_class)
    }


def decode_msgpack(data: bytes, data_class: type[T]) -> T:
    """
    Decode MessagePack to a data class and check its types.

    Parameters
    ----------
    data : bytes
        MessagePack map of its fields.
    data_class : type
        Generated data class.

    Returns
    -------
    object
        Instance of `data_class`.

    Raises
    ------
    MalformedMessageError
        If the bytes aren't MessagePack or don't fit `data_class`.
    """
    decoder = _packed_decoders.get(data_class)
    if decoder is None:
        decoder = _packed_decoders[data_class] = PackedDecoder(data_class)
    try:
        return decoder.decode(data)  # type: ignore[no-any-return]
    except _DECODING_ERRORS as error:
        raise MalformedMessageError(f"{data_class.__name__}: {error}") from error


def decompress(data: bytes, max_bytes: int) -> bytes:
    """
    Decompress a message, with a limit on its size.

    Parameters
    ----------
    data : bytes
        Output of `zlib.compress`.
    max_bytes : int
        Maximum size of the decompressed message.

    Returns
    -------
    bytes
        The decompressed message.

    Raises
    ------
    MalformedMessageError
        If the bytes aren't compressed, are truncated, or decompress to more than
        `max_bytes`.

    Examples
    --------
    >>> from zlib import compress
    >>> decompress(compress(b"map" * 3), 9)
    b'mapmapmap'
    """
    decompressor = decompressobj()
    try:
        message = decompressor.decompress(data, max_bytes)
    except CompressionError as error:
        raise MalformedMessageError(f"not compressed: {error}") from error
    if not decompressor.eof:
        raise MalformedMessageError(f"truncated, or longer than {max_bytes} bytes")
    return message
