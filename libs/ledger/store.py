"""The ledger's disk: one SQLite file, synced before anything is promised."""

import os
import sqlite3

from sparloom.wire import Broken, pack, unpack

from .records import EMPTY, Data, Register

FILE = "ledger.db"


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
        for line in (
            "locking_mode=EXCLUSIVE",
            "journal_mode=PERSIST",
            "synchronous=EXTRA",
            "temp_store=MEMORY",
            "cache_size=200",
            "mmap_size=0",
        ):
            self.db.execute(f"PRAGMA {line}").fetchall()
        self.db.execute("CREATE TABLE IF NOT EXISTS kept (what TEXT PRIMARY KEY, body BLOB NOT NULL)")
        self._sync_folder(folder)

    @staticmethod
    def _sync_folder(folder):
        fd = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def load(self):
        """The register and the data on disk, or None on an empty one.

        >>> Store.load.__name__
        'load'
        """
        rows = dict(self.db.execute("SELECT what, body FROM kept"))
        try:
            reg = unpack(rows["register"]) if "register" in rows else None
            data = unpack(rows["data"]) if "data" in rows else EMPTY
        except Broken:
            return None
        return (reg, data) if isinstance(reg, Register) and isinstance(data, Data) else None

    def save(self, reg, data=None):
        """Puts a register, and data if given, on disk before it returns.

        >>> Store.save.__name__
        'save'
        """
        rows = [("register", pack(reg)), *([("data", pack(data))] if data is not None else [])]
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.db.executemany("INSERT OR REPLACE INTO kept VALUES (?, ?)", rows)
            self.db.execute("COMMIT")
        except sqlite3.Error:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            raise

    def close(self):
        """Closes the file.

        >>> Store.close.__name__
        'close'
        """
        self.db.close()
