"""The thread that owns the disk: saves in order, many at a time, never in the event loop's way."""

import asyncio
import os
import queue
import sqlite3
import threading

from absl import logging

from sparloom.consensus import Store
from sparloom.consensus.store import SET_ASIDE

RETRY_S = 0.1
STOP_POLL_S = 0.005
STOP_POLLS = 100


class DurableWriter:
    """A thread with the store; ``done`` and ``failed`` are called in the event loop.

    Saves reach the disk in the order of asking. One that fails is kept and
    tried again together with those behind it: the last register and the last
    data are written in one transaction, so what is on disk is never a later
    register with an earlier one's data missing.
    """

    def __init__(self, folder, loop, done, failed):
        self.folder, self.loop, self.done, self.failed = folder, loop, done, failed
        self.line = queue.SimpleQueue()
        self.store = None
        self.thread = threading.Thread(target=self._run, name="disk", daemon=True)

    @property
    def set_aside(self):
        """Whether the folder holds a file that could not be read and was set aside."""
        return os.path.exists(os.path.join(self.folder, SET_ASIDE))

    async def load(self):
        """What the disk holds, or None; waits while the disk refuses or hangs."""
        warned = False
        while True:
            try:
                return await asyncio.to_thread(self._open)
            except (sqlite3.Error, OSError) as error:
                if not warned:
                    logging.warning("disk: can't be read yet (%s).", error)
                warned = True
                await asyncio.sleep(RETRY_S)

    def _open(self):
        if self.store is None:
            self.store = Store.open(self.folder)
        return self.store.load()

    def start(self):
        """Starts the thread."""
        self.thread.start()

    def put(self, save):
        """Puts a save in line."""
        self.line.put(save)

    async def stop(self):
        """Ends the thread after what is in line; a hung disk is not waited for."""
        self.line.put(None)
        for _ in range(STOP_POLLS):
            if not self.thread.is_alive():
                return
            await asyncio.sleep(STOP_POLL_S)

    def _next(self, wait):
        """All that is in line; waits for the first, for ever or for a while."""
        try:
            batch = [self.line.get(timeout=wait)]
        except queue.Empty:
            return []
        while not self.line.empty():
            batch.append(self.line.get())
        return batch

    def _run(self):
        pending, ending = [], False
        while not ending:
            batch = self._next(RETRY_S if pending else None)
            ending = None in batch
            pending += [save for save in batch if save is not None]
            if pending and self._save(pending):
                pending = []
        self.store.close()

    def _save(self, saves):
        """Whether the saves are on disk."""
        data = next((save.data for save in reversed(saves) if save.data is not None), None)
        try:
            self.store.save(saves[-1].register, data)
        except (sqlite3.Error, OSError) as error:
            logging.warning("disk: a save failed and is tried again (%s).", error)
            self.loop.call_soon_threadsafe(self.failed)
            return False
        self.loop.call_soon_threadsafe(self.done, list(saves))
        return True
