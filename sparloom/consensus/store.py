"""The durable state of a consensus member: one SQLite file, synced before anything is acknowledged."""

from __future__ import annotations

import contextlib
import os
import sqlite3

from sparloom.codec import DecodeError, pack, unpack

from .records import EMPTY, Data, Register

FILE = "ledger.db"
JOURNAL = FILE + "-journal"
SET_ASIDE = FILE + ".unreadable"
PRAGMAS = (
    # No second process may write behind this one's back.
    "locking_mode=EXCLUSIVE",
    # The journal is invalidated by overwriting its header: no name in the directory changes at a commit.
    "journal_mode=PERSIST",
    # Journal and file are synced before a commit returns.
    "synchronous=EXTRA",
    "temp_store=MEMORY",
    "cache_size=200",
    # A read error is raised by SQLite instead of ending the process by a signal.
    "mmap_size=0",
)
# The table, its columns and its keys are the format on disk, and never change.
CREATE_TABLE = "CREATE TABLE IF NOT EXISTS kept (what TEXT PRIMARY KEY, body BLOB NOT NULL)"
SELECT_ROWS = "SELECT what, body FROM kept"
REPLACE_ROW = "INSERT OR REPLACE INTO kept VALUES (?, ?)"
REGISTER_KEY = "register"
DATA_KEY = "data"


def _sync_directory(folder: str) -> None:
    """Puts the directory's entries on disk, so that a new file is still there after a loss of power."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class Store:
    """Keeps a member's register and its copy of the data.

    Rows are replaced as a whole in one transaction, and a commit is on disk
    when it returns. The store is used by one thread at a time.

    Attributes
    ----------
    path
        Of the SQLite file.
    db
        The connection, in autocommit mode: transactions are begun explicitly.

    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as d:
    ...     with contextlib.closing(Store(d)) as store:
    ...         store.load() is None
    True
    """

    def __init__(self, folder: str) -> None:
        os.makedirs(folder, exist_ok=True)
        self.path = os.path.join(folder, FILE)
        self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        try:
            for pragma in PRAGMAS:
                self.db.execute(f"PRAGMA {pragma}").fetchall()
            self.db.execute(CREATE_TABLE)
            _sync_directory(folder)
        except BaseException:
            self.db.close()
            raise

    @classmethod
    def open(cls, folder: str) -> Store:
        """Opens the store; a file that is no database any more is set aside.

        A member whose file is corrupt has lost its disk: it starts as a new
        one, without a vote, since it can't know what it has promised.

        Raises
        ------
        sqlite3.OperationalError
            An I/O error, a full or a locked disk: what is on it may be
            complete, so it is not set aside.
        OSError
            The directory can't be made or synced, or the file not renamed.

        >>> import tempfile
        >>> with tempfile.TemporaryDirectory() as d:
        ...     with open(os.path.join(d, FILE), "wb") as file:
        ...         _ = file.write(b"torn" * 500)
        ...     with contextlib.closing(Store.open(d)) as store:
        ...         store.load(), sorted(os.listdir(d))[-1]
        (None, 'ledger.db.unreadable')
        """
        try:
            store = cls(folder)
            store.load()
            return store
        except sqlite3.OperationalError:
            raise
        except sqlite3.DatabaseError:
            # A journal left behind would be rolled back into the new file.
            with contextlib.suppress(OSError):
                os.remove(os.path.join(folder, JOURNAL))
            os.replace(os.path.join(folder, FILE), os.path.join(folder, SET_ASIDE))
            return cls(folder)

    def load(self) -> tuple[Register, Data] | None:
        """The register and the data on disk.

        None on an empty disk, and where the rows don't belong together: a
        register that claims a copy that is missing must not vote.

        Raises
        ------
        sqlite3.Error
            The file can't be read.
        """
        rows: dict[str, bytes] = dict(self.db.execute(SELECT_ROWS))
        if REGISTER_KEY not in rows:
            return None
        try:
            register = unpack(rows[REGISTER_KEY])
            data = unpack(rows[DATA_KEY]) if DATA_KEY in rows else EMPTY
        except DecodeError:
            return None
        if not isinstance(register, Register) or not isinstance(data, Data):
            return None
        return None if register.copy_epoch and DATA_KEY not in rows else (register, data)

    def save(self, register: Register, data: Data | None = None) -> None:
        """Puts a register, and data if given, on disk before it returns.

        Both are written in one transaction: after a crash between two, the
        register could claim a copy that the disk does not hold.

        Raises
        ------
        sqlite3.Error
            Nothing of it is known to be on disk; the save may be repeated.
        """
        rows = [(REGISTER_KEY, pack(register))]
        if data is not None:
            rows.append((DATA_KEY, pack(data)))
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.db.executemany(REPLACE_ROW, rows)
            self.db.execute("COMMIT")
        except sqlite3.Error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def close(self) -> None:
        """Closes the file."""
        self.db.close()
