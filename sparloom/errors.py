"""The base of all errors that sparloom raises on its own account."""


class SparloomError(Exception):
    """Something that sparloom was given, or met, does not hold; the message says what was found."""
