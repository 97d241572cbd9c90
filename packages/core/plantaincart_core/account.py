"""Client accounts, and how the holder of a key is found."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import sha256
from hmac import compare_digest

__all__ = ["AccountIndex", "ClientAccount", "digest_key"]

# Bytes of a digest by which candidates are looked up. They say nothing of the key, and
# the whole digests are compared in constant time.
LOOKUP_BYTES = 8


def digest_key(key: str) -> bytes:
    """
    Return the digest by which a key is known; the key itself isn't kept.

    Parameters
    ----------
    key : str
        Key of a client account.

    Returns
    -------
    bytes
        SHA-256 digest.
    """
    return sha256(key.encode("utf-8", "surrogateescape")).digest()


@dataclass(frozen=True, kw_only=True, slots=True)
class ClientAccount:
    """
    Account on whose behalf callers send requests.

    Parameters
    ----------
    name : str
        Name of the account, which upstreams are told.
    key_digests : frozenset of bytes
        Digests of its keys; each of them is proper.
    priority : int
        Priority of its requests; 0 is the most urgent. It goes before the route's.
    rate_per_s : float
        Requests per second over all instances; 0 for no limit.
    burst : float
        Requests beyond the rate that may come at once after a time with fewer.
    """

    name: str
    key_digests: frozenset[bytes] = field(default=frozenset(), repr=False)
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the account has a quota."""
        return self.rate_per_s > 0.0


class AccountIndex:
    """
    Accounts of one version of the configuration, by key and by name.

    Parameters
    ----------
    accounts : iterable of ClientAccount
        All accounts. A key that several hold is that of the first.

    Attributes
    ----------
    has_limits : bool
        Whether any account has a quota.

    Examples
    --------
    >>> account = ClientAccount(name="depot", key_digests=frozenset([digest_key("k1")]))
    >>> index = AccountIndex([account])
    >>> index.find(digest_key("k1")).name
    'depot'
    >>> index.find(digest_key("k2")) is None, index.find(None) is None
    (True, True)
    >>> len(index), index.get("depot") is account
    (1, True)
    """

    def __init__(self, accounts: Iterable[ClientAccount] = ()) -> None:
        self._by_name: dict[str, ClientAccount] = {}
        self.has_limits = False
        self._by_prefix: dict[bytes, list[tuple[bytes, ClientAccount]]] = {}
        for account in accounts:
            self._by_name[account.name] = account
            self.has_limits |= account.is_limited
            for digest in account.key_digests:
                held = self._by_prefix.setdefault(digest[:LOOKUP_BYTES], [])
                held.append((digest, account))

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[ClientAccount]:
        return iter(self._by_name.values())

    def get(self, name: str) -> ClientAccount | None:
        """Return the account with a name, or None."""
        return self._by_name.get(name)

    def find(self, key_digest: bytes | None) -> ClientAccount | None:
        """
        Find the account that holds a key.

        Parameters
        ----------
        key_digest : bytes or None
            Digest of the key; None for a request without a proper one.

        Returns
        -------
        ClientAccount or None
            None if no account holds the key.
        """
        if key_digest is None:
            return None
        for digest, account in self._by_prefix.get(key_digest[:LOOKUP_BYTES], ()):
            if compare_digest(digest, key_digest):
                return account
        return None
