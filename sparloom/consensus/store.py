"""The ledger's disk: one SQLite file, synced before anything is promised."""

import contextlib
import os
import sqlite3

from sparloom.codec import DecodeError, pack, unpack

from .records import EMPTY, Data, Register

FILE = "ledger.db"
SET_ASIDE = FILE + ".unreadable"
PRAGMAS = (
    "locking_mode=EXCLUSIVE",
    "journal_mode=PERSIST",
    "synchronous=EXTRA",
    "temp_store=MEMORY",
    "cache_size=200",
    "mmap_size=0",
)


def _sync_folder(folder):
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class Store:
    """Keeps a member's register and its copy of the data.

    Rows are replaced whole in one transaction. The rollback journal is kept
    and its head wiped at each commit, so no name in the folder changes and a
    commit is on disk when it returns.

    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as d:
    ...     s = Store(d); s.load() is None
    True
    """

    def __init__(self, folder):
        os.makedirs(folder, exist_ok=True)
        self.path = os.path.join(folder, FILE)
        self.db = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        try:
            for pragma in PRAGMAS:
                self.db.execute(f"PRAGMA {pragma}").fetchall()
            self.db.execute("CREATE TABLE IF NOT EXISTS kept (what TEXT PRIMARY KEY, body BLOB NOT NULL)")
            _sync_folder(folder)
        except BaseException:
            self.db.close()
            raise

    @classmethod
    def open(cls, folder):
        """Opens the store; a file that is no database any more is set aside.

        A member whose file can't be read has lost its disk: it starts as a new
        one, without a vote. An I/O error or a full disk is raised instead,
        since what is on such a disk may be whole.

        >>> import tempfile
        >>> with tempfile.TemporaryDirectory() as d:
        ...     _ = open(os.path.join(d, FILE), "wb").write(b"torn" * 500)
        ...     Store.open(d).load(), sorted(os.listdir(d))[-1]
        (None, 'ledger.db.unreadable')
        """
        try:
            store = cls(folder)
            store.load()
            return store
        except sqlite3.OperationalError:
            raise
        except sqlite3.DatabaseError:
            with contextlib.suppress(OSError):
                os.remove(os.path.join(folder, FILE + "-journal"))
            os.replace(os.path.join(folder, FILE), os.path.join(folder, SET_ASIDE))
            return cls(folder)

    def load(self):
        """The register and the data on disk; None on an empty disk or one whose rows don't belong together."""
        rows = dict(self.db.execute("SELECT what, body FROM kept"))
        try:
            register = unpack(rows["register"]) if "register" in rows else None
            data = unpack(rows["data"]) if "data" in rows else EMPTY
        except DecodeError:
            return None
        if not isinstance(register, Register) or not isinstance(data, Data):
            return None
        return None if register.copy_epoch and "data" not in rows else (register, data)

    def save(self, register, data=None):
        """Puts a register, and data if given, on disk before it returns."""
        rows = [("register", pack(register)), *([("data", pack(data))] if data is not None else [])]
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.db.executemany("INSERT OR REPLACE INTO kept VALUES (?, ?)", rows)
            self.db.execute("COMMIT")
        except sqlite3.Error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def close(self):
        """Closes the file."""
        self.db.close()
