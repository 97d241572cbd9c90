"""Reading declarations and building the request to apply them."""

from pathlib import Path

from plantaincart_core.apply import ApplyRequest
from plantaincart_core.configuration import check_declarations, merge_declarations
from plantaincart_schema.document import read_declarations
from plantaincart_schema.generated.configuration import Configuration, Declarations

from plantaincart_operator.settings import read_document

__all__ = ["build_declarations_request", "load_declarations"]


def load_declarations(path: Path) -> tuple[Declarations, bytes]:
    """
    Read declarations and check them, also against each other.

    Parameters
    ----------
    path : Path
        TOML file.

    Returns
    -------
    tuple of Declarations and bytes
        The declarations, and the file's content.

    Raises
    ------
    UsageError
        If the file can't be read.
    ExceptionGroup
        With an `InvalidValueError` for each value that isn't allowed.
    """
    content = read_document(path)
    text = content.decode("utf-8", errors="replace")
    declarations = read_declarations(text, str(path))
    errors = check_declarations(declarations, str(path))
    if errors:
        raise ExceptionGroup(f"{path} is not valid", errors)
    return declarations, content


def build_declarations_request(
    path: Path,
    operator: str,
    expect_version: int | None,
    previous: Declarations | None,
) -> tuple[ApplyRequest, Declarations]:
    """
    Build the request to apply declarations.

    Parameters
    ----------
    path : Path
        TOML file.
    operator : str
        Name of the operator.
    expect_version : int or None
        Version that the operator expects to be in force.
    previous : Declarations or None
        Declarations applied last.

    Returns
    -------
    tuple of ApplyRequest and Declarations
        The request, and the declarations to store with the new version.

    Raises
    ------
    UsageError
        If the file can't be read.
    ExceptionGroup
        With an `InvalidValueError` for each value that isn't allowed.
    """
    declarations, content = load_declarations(path)

    def build(current: Configuration, write_id: str) -> Configuration:
        return merge_declarations(
            current, declarations, write_id, operator, previous, str(path)
        )

    request = ApplyRequest(
        kind="declarations",
        content=content,
        build=build,
        operator=operator,
        expect_version=expect_version,
    )
    return request, declarations
