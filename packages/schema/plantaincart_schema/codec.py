"""Encoding and checked decoding of the generated data classes."""

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
    "decode_packed",
    "decompress",
    "encode_json",
    "encode_packed",
]

T = TypeVar("T")
# Deeply nested input exhausts the recursion limit.
_REFUSALS = (DecodeError, ValidationError, UnicodeDecodeError, RecursionError)

_json_encoder = JsonEncoder()
_packed_encoder = PackedEncoder()
_json_decoders: dict[type, JsonDecoder[Any]] = {}
_packed_decoders: dict[type, PackedDecoder[Any]] = {}


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


def decode_json(data: bytes, kind: type[T]) -> T:
    """
    Decode JSON to a data class and check its types.

    Parameters
    ----------
    data : bytes
        UTF-8 JSON text.
    kind : type
        Generated data class.

    Returns
    -------
    object
        Instance of `kind`.

    Raises
    ------
    MalformedMessageError
        If the text isn't JSON or doesn't fit `kind`.
    """
    decoder = _json_decoders.get(kind)
    if decoder is None:
        decoder = _json_decoders[kind] = JsonDecoder(kind)
    try:
        return decoder.decode(data)  # type: ignore[no-any-return]
    except _REFUSALS as error:
        raise MalformedMessageError(f"{kind.__name__}: {error}") from error


def encode_packed(value: object) -> bytes:
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


def decode_packed(data: bytes, kind: type[T]) -> T:
    """
    Decode MessagePack to a data class and check its types.

    Parameters
    ----------
    data : bytes
        MessagePack map of its fields.
    kind : type
        Generated data class.

    Returns
    -------
    object
        Instance of `kind`.

    Raises
    ------
    MalformedMessageError
        If the bytes aren't MessagePack or don't fit `kind`.
    """
    decoder = _packed_decoders.get(kind)
    if decoder is None:
        decoder = _packed_decoders[kind] = PackedDecoder(kind)
    try:
        return decoder.decode(data)  # type: ignore[no-any-return]
    except _REFUSALS as error:
        raise MalformedMessageError(f"{kind.__name__}: {error}") from error


def decompress(data: bytes, max_bytes: int) -> bytes:
    """
    Undo the compression of a message, whoever sent it.

    Parameters
    ----------
    data : bytes
        Output of `zlib.compress`.
    max_bytes : int
        Longest result.

    Returns
    -------
    bytes
        The message.

    Raises
    ------
    MalformedMessageError
        If the bytes aren't compressed, are cut off, or give more than `max_bytes`.

    Examples
    --------
    >>> from zlib import compress
    >>> decompress(compress(b"map" * 3), 9)
    b'mapmapmap'
    """
    reader = decompressobj()
    try:
        whole = reader.decompress(data, max_bytes)
    except CompressionError as error:
        raise MalformedMessageError(f"not compressed: {error}") from error
    if not reader.eof:
        raise MalformedMessageError(f"cut off, or longer than {max_bytes} bytes")
    return whole
