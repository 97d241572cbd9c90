"""Encoding of the row that stores the owners of one service's keys."""

from zlib import compress

from plantaincart_schema.codec import decode_json, decompress, encode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    OwnershipRange,
    OwnershipRow,
    OwnershipTable,
)

__all__ = ["decode_ownership", "encode_ownership"]

# Fast, and the result is at most a tenth larger than at the highest level.
COMPRESSION_LEVEL = 3
# Longer texts are rejected as malformed.
MAX_TEXT_BYTES = 8_000_000
NO_PROCESS = -1

# Upstream id and process start; empty for unowned keys.
Process = tuple[str, int]


def encode_ownership(row: OwnershipRow) -> bytes:
    """
    Encode a row as compressed JSON.

    Parameters
    ----------
    row : OwnershipRow
        Owners of all keys of one service. The ranges cover the key space.

    Returns
    -------
    bytes
        Content for the store, some 20 bytes per range.

    Notes
    -----
    Stores limit the size of rows (64 KiB on the users' platform). A table with one list
    per field, in which each upstream is named once, is half as large as a list of
    ranges.
    """
    indexes: dict[Process, int] = {}

    def find_index(name: str, born: int) -> int:
        return indexes.setdefault((name, born), len(indexes)) if name else NO_PROCESS

    owners = [find_index(stored.owner, stored.born) for stored in row.ranges]
    previous = [
        find_index(stored.previous, stored.previous_born) for stored in row.ranges
    ]
    indexed_names = {name for name, _ in indexes}
    for name in row.addresses:
        if name not in indexed_names:
            find_index(name, 0)
    table = OwnershipTable(
        service=row.service,
        epoch=row.epoch,
        sequence=row.sequence,
        names=[name for name, _ in indexes],
        born=[born for _, born in indexes],
        addresses=[row.addresses.get(name, "") for name, _ in indexes],
        lasts=[stored.last for stored in row.ranges],
        owners=owners,
        fences=[stored.fence for stored in row.ranges],
        previous=previous,
    )
    return compress(encode_json(table), COMPRESSION_LEVEL)


def decode_ownership(value: bytes) -> OwnershipRow:
    """
    Decode a row.

    Parameters
    ----------
    value : bytes
        Content from the store.

    Returns
    -------
    OwnershipRow
        Owners of all keys of one service.

    Raises
    ------
    MalformedMessageError
        If the bytes aren't a valid row.
    """
    table = decode_json(decompress(value, MAX_TEXT_BYTES), OwnershipTable)
    try:
        processes = list(zip(table.names, table.born, strict=True))
        addresses = dict(zip(table.names, table.addresses, strict=True))
        ranges = _read_ranges(table, processes)
    except (IndexError, ValueError) as error:
        raise MalformedMessageError(f"OwnershipTable: {error}") from error
    return OwnershipRow(
        service=table.service,
        epoch=table.epoch,
        sequence=table.sequence,
        ranges=ranges,
        addresses={name: address for name, address in addresses.items() if address},
    )


def _read_ranges(
    table: OwnershipTable, processes: list[Process]
) -> list[OwnershipRange]:
    def find_process(index: int) -> Process:
        if index < NO_PROCESS:
            raise ValueError(f"upstream index {index}")
        return ("", 0) if index == NO_PROCESS else processes[index]

    ranges = []
    first = 0
    columns = zip(table.lasts, table.owners, table.fences, table.previous, strict=True)
    for last, owner, fence, previous in columns:
        if last < first:
            raise ValueError(f"empty key range {first} to {last}")
        (name, born), (previous_name, previous_born) = (
            find_process(owner),
            find_process(previous),
        )
        ranges.append(
            OwnershipRange(
                first=first,
                last=last,
                owner=name,
                born=born,
                fence=fence,
                previous=previous_name,
                previous_born=previous_born,
            )
        )
        first = last + 1
    return ranges
