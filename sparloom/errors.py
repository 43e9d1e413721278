"""The base class of all errors that sparloom defines."""


class SparloomError(Exception):
    """Base class of errors about invalid input or state; the message describes the fault."""
