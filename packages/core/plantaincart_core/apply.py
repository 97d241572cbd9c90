"""Decision whether an apply makes a new version, repeats one or is in conflict."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from plantaincart_schema.generated.configuration import Configuration
from xxhash import xxh3_128_hexdigest

from plantaincart_core.configuration import describe_changes

__all__ = [
    "REPEAT_WINDOW_S",
    "ApplyRequest",
    "ApplyState",
    "Proposal",
    "WriteIdentity",
    "find_written_version",
    "propose_version",
]

REPEAT_WINDOW_S = 900


@dataclass(frozen=True)
class WriteIdentity:
    """
    Identity of an apply, stored as the write id of the version that it creates.

    Parameters
    ----------
    kind : str
        ``sheet`` or ``declarations``.
    digest : str
        Hash of the applied document.
    base : int
        Version that the document was applied to.
    applied_at : int
        Unix time in seconds; ignored by `matches`.

    Examples
    --------
    >>> identity = WriteIdentity("sheet", "ab12", 4, 1700000000)
    >>> str(identity)
    'sheet-ab12-4-1700000000'
    >>> WriteIdentity.parse(str(identity)) == identity
    True
    """

    kind: str
    digest: str
    base: int
    applied_at: int

    def __str__(self) -> str:
        return f"{self.kind}-{self.digest}-{self.base}-{self.applied_at}"

    @classmethod
    def parse(cls, write_id: str) -> "WriteIdentity | None":
        """
        Parse the write id of a version.

        Parameters
        ----------
        write_id : str
            Write id of a configuration.

        Returns
        -------
        WriteIdentity or None
            None if the version wasn't written by an apply.
        """
        parts = write_id.split("-")
        if len(parts) != 4 or not (parts[2].isdigit() and parts[3].isdigit()):
            return None
        return cls(parts[0], parts[1], int(parts[2]), int(parts[3]))

    def matches(self, other: "WriteIdentity") -> bool:
        """Return whether both are the same document applied to the same version."""
        own_identity = (self.kind, self.digest, self.base)
        return own_identity == (other.kind, other.digest, other.base)


class ApplyState(Enum):
    """Result of checking an apply against the existing versions."""

    NEW = auto()
    REPEATED = auto()
    UNCHANGED = auto()
    CONFLICT = auto()


@dataclass(frozen=True, kw_only=True)
class ApplyRequest:
    """
    A document that an operator applies.

    Parameters
    ----------
    kind : str
        ``sheet`` or ``declarations``.
    content : bytes
        The unparsed document.
    build : callable
        Builds the next configuration from the current one and a write id; may
        raise an ExceptionGroup of `InvalidValueError`.
    operator : str
        Name of the operator.
    expect_version : int, optional
        Version that the operator expects to be in force.
    """

    kind: str
    content: bytes
    build: Callable[[Configuration, str], Configuration]
    operator: str
    expect_version: int | None = None

    def identify(self, base: int, now: float) -> WriteIdentity:
        """Build the identity of this document applied to version `base` at `now`."""
        digest = xxh3_128_hexdigest(self.content)
        return WriteIdentity(self.kind, digest, base, int(now))


@dataclass(frozen=True, kw_only=True)
class Proposal:
    """
    Result of an apply before any version is written.

    Parameters
    ----------
    state : ApplyState
        A version has to be written only for `ApplyState.NEW`.
    configuration : Configuration
        The version to write if new, the version written earlier if repeated, else
        the version in force.
    changes : tuple of str
        Differences between the version in force and the new one. In a conflict,
        differences between the version that the operator expected and the one in
        force; for a repeat, between the version written earlier and the one in
        force.
    """

    state: ApplyState
    configuration: Configuration
    changes: tuple[str, ...] = ()


def propose_version(
    request: ApplyRequest,
    current: Configuration,
    history: Sequence[Configuration],
    now: float,
) -> Proposal:
    """
    Decide whether an apply makes a new version, repeats one or is in conflict.

    Parameters
    ----------
    request : ApplyRequest
        The document and the operator who applies it.
    current : Configuration
        Version in force.
    history : sequence of Configuration
        Recent versions in any order, including `current`.
    now : float
        Unix time in seconds.

    Returns
    -------
    Proposal
        A new version has to be written by compare-and-set on `current`.

    Raises
    ------
    ExceptionGroup
        Of `InvalidValueError`, from `request.build`.

    Notes
    -----
    An operator may repeat an apply whose answer was lost. The repeat is recognised
    by its document and base version. Where the operator expects a version, that is
    the base; otherwise the base of each version written in the last
    `REPEAT_WINDOW_S` seconds is compared. If another operator has written a version
    since, a repeat without an expected version is in conflict and makes no version.
    """
    repeated = _find_repeated(request, current, history, now)
    if repeated is not None:
        return repeated
    if request.expect_version not in (None, current.version):
        return _build_conflict(_find_version(history, request.expect_version), current)
    identity = request.identify(current.version, now)
    configuration = request.build(current, str(identity))
    changes = tuple(describe_changes(current, configuration))
    if not changes:
        return Proposal(state=ApplyState.UNCHANGED, configuration=current)
    return Proposal(state=ApplyState.NEW, configuration=configuration, changes=changes)


def find_written_version(
    proposal: Proposal, history_entry: Configuration | None
) -> Configuration | None:
    """
    Determine from the history row whether a proposed version was written.

    Parameters
    ----------
    proposal : Proposal
        A new version whose commit got no answer or failed with a conflict.
    history_entry : Configuration or None
        Configuration in the history row of the proposed version number; None if
        there is no such row.

    Returns
    -------
    Configuration or None
        The version as written if the same apply wrote it; None otherwise.
    """
    if history_entry is None:
        return None
    proposed_identity = WriteIdentity.parse(proposal.configuration.write_id)
    written_identity = WriteIdentity.parse(history_entry.write_id)
    if (
        proposed_identity is None
        or written_identity is None
        or not proposed_identity.matches(written_identity)
    ):
        return None
    return history_entry


def _find_repeated(
    request: ApplyRequest,
    current: Configuration,
    history: Sequence[Configuration],
    now: float,
) -> Proposal | None:
    for entry in sorted(history, key=lambda item: item.version, reverse=True):
        identity = WriteIdentity.parse(entry.write_id)
        if identity is None:
            continue
        expected = request.expect_version
        base = identity.base if expected is None else expected
        if not identity.matches(request.identify(base, now)):
            continue
        if expected is None and now - identity.applied_at > REPEAT_WINDOW_S:
            return None
        later = [item for item in history if item.version > entry.version]
        if expected is None and any(
            item.applied_by != request.operator for item in later
        ):
            return _build_conflict(entry, current)
        if expected is not None or not later:
            changes = tuple(describe_changes(entry, current))
            return Proposal(
                state=ApplyState.REPEATED, configuration=entry, changes=changes
            )
        return None
    return None


def _find_version(
    history: Sequence[Configuration], version: int | None
) -> Configuration | None:
    return next((item for item in history if item.version == version), None)


def _build_conflict(
    base_version: Configuration | None, current: Configuration
) -> Proposal:
    changes = (
        () if base_version is None else tuple(describe_changes(base_version, current))
    )
    return Proposal(state=ApplyState.CONFLICT, configuration=current, changes=changes)
