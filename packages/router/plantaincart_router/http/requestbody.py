"""Body of one request while it arrives and until it is answered."""

from plantaincart_router.http.heldbytes import HeldBytes, HeldKind

__all__ = ["RequestBody"]


class RequestBody:
    """
    Collects the parts of a body, and counts them as held.

    Parameters
    ----------
    held : HeldBytes
        Count of all bytes that the instance holds.

    Attributes
    ----------
    byte_count : int
        Size of the body so far.
    """

    def __init__(self, held: HeldBytes) -> None:
        self._held = held
        self._parts: list[bytes] = []
        self._counted_bytes = 0
        self.byte_count = 0

    def append(self, data: bytes) -> None:
        """Add a part."""
        self._parts.append(data)
        self.byte_count += len(data)
        self._counted_bytes += len(data)
        self._held.add(HeldKind.REQUEST, len(data))

    def take(self) -> bytes:
        """Return the whole body, which stays counted until `release`."""
        parts, self._parts, self.byte_count = self._parts, [], 0
        return b"".join(parts)

    def release(self) -> None:
        """Drop the parts, and count the body as no longer held."""
        self._parts, self.byte_count = [], 0
        byte_count, self._counted_bytes = self._counted_bytes, 0
        if byte_count:
            self._held.remove(HeldKind.REQUEST, byte_count)
