"""Errors of the testing package."""

from plantaincart_schema.exception import PlantaincartError

__all__ = ["ControlError", "StartError", "TestingError"]


class TestingError(PlantaincartError):
    """Base of the errors that the testing package raises."""

    __test__ = False


class ControlError(TestingError):
    """A stand-in rejected or didn't answer a control call."""


class StartError(TestingError):
    """A process of a local system ended early or wasn't ready in time."""
