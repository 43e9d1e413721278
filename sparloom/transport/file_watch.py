"""Notices that a file has changed, with or without a signal."""

import os

from attrs import define


@define(slots=True)
class FileWatch:
    """A file's last known make.

    >>> FileWatch("/nowhere").changed()
    False
    """

    path: str
    mark: tuple = ()

    def __attrs_post_init__(self):
        self.mark = self._look()

    def _look(self):
        try:
            s = os.stat(self.path)
        except OSError:
            return ()
        return (s.st_mtime_ns, s.st_size, s.st_ino)

    def changed(self):
        """Whether the file changed since the last question.

        >>> FileWatch("/nowhere").changed()
        False
        """
        old, self.mark = self.mark, self._look()
        return old != self.mark
