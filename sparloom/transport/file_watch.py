"""Notices that a file has changed, with or without a signal."""

from __future__ import annotations

import os

from attrs import define, field


@define(slots=True)
class FileWatch:
    """Compares a file with how it was when last looked at.

    Attributes
    ----------
    path
        The file; it need not exist.

    Examples
    --------
    >>> FileWatch("/nowhere").changed()
    False
    """

    path: str
    _fingerprint: tuple[int, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._fingerprint = self._read_fingerprint()

    def _read_fingerprint(self) -> tuple[int, ...]:
        """Time of modification, size and inode; empty where there is no such file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return ()
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def changed(self) -> bool:
        """Whether the file was changed, made or removed since the last call, or since the watch began.

        Examples
        --------
        >>> FileWatch("/nowhere").changed()
        False
        """
        last = self._fingerprint
        self._fingerprint = self._read_fingerprint()
        return last != self._fingerprint
