"""Versions and epochs that stay ordered when the store is restored from a copy."""

__all__ = [
    "MAX_COUNTER",
    "first_epoch",
    "is_epoch_of_era",
    "join_version",
    "may_claim_term",
    "next_epoch",
    "split_version",
]

# A version is one integer: the era of the store, followed by its counter in this many
# bits.
COUNTER_BITS = 52
MAX_COUNTER = (1 << COUNTER_BITS) - 1
# An epoch is one integer: the era of the store in which the term was claimed, followed
# by the number of the term in this many bits.
TERM_BITS = 16


def join_version(era: int, counter: int) -> int:
    """
    Combine an era of the store and its version counter.

    Parameters
    ----------
    era : int
        Number of times that the store was restored, as the store states it.
    counter : int
        Version counter of the store, which goes back when it is restored.

    Returns
    -------
    int
        Version; those of a later era are higher.

    Examples
    --------
    >>> join_version(0, 7)
    7
    >>> join_version(2, 3) > join_version(1, 900)
    True
    """
    return (era << COUNTER_BITS) + counter


def split_version(version: int) -> tuple[int, int]:
    """
    Return the era and the counter of a version.

    Examples
    --------
    >>> split_version(join_version(3, 12))
    (3, 12)
    """
    return version >> COUNTER_BITS, version & MAX_COUNTER


def first_epoch(era: int) -> int:
    """Return a lower bound, exclusive, of the epochs of terms claimed in an era."""
    return era << TERM_BITS


def is_epoch_of_era(epoch: int, era: int) -> bool:
    """Return whether a term was claimed in an era, or in a later one."""
    return epoch > first_epoch(era)


def next_epoch(era: int, *known_epochs: int) -> int:
    """
    Choose the epoch of a new term.

    Parameters
    ----------
    era : int
        Era of the store in which the term is claimed.
    known_epochs : int
        Epochs of all earlier terms that are known.

    Returns
    -------
    int
        Epoch. It exceeds those of earlier eras even if the store has lost all rows
        that recorded them.

    Examples
    --------
    >>> next_epoch(0, 4)
    5
    >>> next_epoch(1) > next_epoch(0, 60000)
    True
    """
    return max(first_epoch(era), *known_epochs, 0) + 1


def may_claim_term(
    has_ended: bool, is_era_claimed: bool, unchanged_s: float, required_s: float
) -> bool:
    """
    Decide whether an instance may claim the term of the coordinator.

    Parameters
    ----------
    has_ended : bool
        Whether the store's row shows that the latest term has ended, or there is none.
    is_era_claimed : bool
        Whether a term was claimed since the store was last restored. Otherwise the row
        is older than the copy, so that a later term may be active.
    unchanged_s : float
        Seconds for which the row hasn't changed, counted from the last restoration of
        the store at the earliest.
    required_s : float
        Seconds without a renewal after which a term has ended.

    Examples
    --------
    >>> may_claim_term(True, True, unchanged_s=0.0, required_s=1.2)
    True
    >>> may_claim_term(True, False, unchanged_s=0.5, required_s=1.2)
    False
    >>> may_claim_term(False, True, unchanged_s=1.5, required_s=1.2)
    True
    """
    return (has_ended and is_era_claimed) or unchanged_s >= required_s
