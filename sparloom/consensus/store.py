"""``Store``: the durable state of a consensus member in one SQLite file, synced before each acknowledgement."""

from __future__ import annotations

import contextlib
import os
import sqlite3

from sparloom.codec import DecodeError, pack, unpack

from .records import EMPTY, Data, Register

FILE = "ledger.db"
JOURNAL = FILE + "-journal"
UNREADABLE_FILE = FILE + ".unreadable"
PRAGMAS = (
    # Prevents a second process from writing to the file.
    "locking_mode=EXCLUSIVE",
    # The journal is invalidated by overwriting its header, so a commit changes no directory entry.
    "journal_mode=PERSIST",
    # Journal and file are synced before a commit returns.
    "synchronous=EXTRA",
    "temp_store=MEMORY",
    # The unit is pages.
    "cache_size=200",
    # Without memory mapping, SQLite raises a read error instead of the process ending by a signal.
    "mmap_size=0",
)
# The table, its columns and its keys are the format on disk and must not change.
CREATE_TABLE = "CREATE TABLE IF NOT EXISTS kept (what TEXT PRIMARY KEY, body BLOB NOT NULL)"
SELECT_ROWS = "SELECT what, body FROM kept"
REPLACE_ROW = "INSERT OR REPLACE INTO kept VALUES (?, ?)"
REGISTER_KEY = "register"
DATA_KEY = "data"


def _sync_directory(folder: str) -> None:
    """Syncs the directory's entries to disk, so that a new file survives a power loss."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class Store:
    """Stores a member's register and its copy of the data.

    Each save replaces whole rows in one transaction, and a commit returns once
    it is on disk. The store may be used by one thread at a time.

    Attributes
    ----------
    path
        Path of the SQLite file.
    db
        The connection, in autocommit mode; transactions are started explicitly.

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
        """Opens the store; a corrupt database file is renamed and replaced by a new one.

        A member with a corrupt file is treated like one with a lost disk: it
        starts as a new member without a vote, since its promises are unknown.

        Raises
        ------
        sqlite3.OperationalError
            An I/O error, a full disk or a locked database. The file may be
            intact, so it is not renamed.
        OSError
            The directory can't be created or synced, or the file can't be renamed.

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
            # SQLite would roll a remaining journal back into the new file.
            with contextlib.suppress(OSError):
                os.remove(os.path.join(folder, JOURNAL))
            os.replace(os.path.join(folder, FILE), os.path.join(folder, UNREADABLE_FILE))
            return cls(folder)

    def load(self) -> tuple[Register, Data] | None:
        """Returns the register and the data on disk.

        Returns None if nothing is stored, a row can't be decoded, or the rows are
        inconsistent: a member whose register claims a missing copy must not vote.

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
        """Writes a register, and data if given, to disk before it returns.

        Both are written in one transaction: after a crash between two
        transactions, the register could claim a copy that is not on disk.

        Raises
        ------
        sqlite3.Error
            It is unknown whether the write is on disk; the save may be retried.
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
