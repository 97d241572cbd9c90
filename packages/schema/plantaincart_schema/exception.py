"""Errors of the schema package and the base error of the project."""

__all__ = ["InvalidValueError", "MalformedMessageError", "PlantaincartError"]


class PlantaincartError(Exception):
    """Base of every error that the project raises."""


class MalformedMessageError(PlantaincartError):
    """Received or stored bytes that don't decode to the expected data class."""


class InvalidValueError(PlantaincartError):
    """
    Value of a document that violates the document's schema.

    Parameters
    ----------
    source : str
        File or document that holds the value.
    place : str
        Dotted key of the value, or row and column in a sheet.
    given : str
        The invalid value as text.
    allowed : str
        Description of the allowed values.
    """

    def __init__(self, source: str, place: str, given: str, allowed: str) -> None:
        super().__init__(source, place, given, allowed)
        self.source = source
        self.place = place
        self.given = given
        self.allowed = allowed

    def __str__(self) -> str:
        return f"{self.source}: {self.place}: given {self.given}; {self.allowed}"
