"""The task that owns the disk: saves in order, many at a time, never in the loop's way."""

import asyncio
import queue
import sqlite3
import threading

from absl import logging

from sparloom.ledger import Store


class Disk:
    """A thread with the store; ``done`` and ``failed`` are called in the loop."""

    def __init__(self, folder, loop, done, failed):
        self.folder, self.loop, self.done, self.failed = folder, loop, done, failed
        self.line = queue.SimpleQueue()
        self.store = Store(folder)
        self.thread = threading.Thread(target=self._run, name="disk", daemon=True)

    def load(self):
        """What the disk holds, or None."""
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
        for _ in range(100):
            if not self.thread.is_alive():
                return
            await asyncio.sleep(0.005)

    def _run(self):
        while True:
            batch = [self.line.get()]
            while not self.line.empty():
                batch.append(self.line.get())
            saves = [s for s in batch if s is not None]
            if saves:
                self._save(saves)
            if len(saves) < len(batch):
                self.store.close()
                return

    def _save(self, saves):
        data = next((s.data for s in reversed(saves) if s.data is not None), None)
        try:
            self.store.save(saves[-1].reg, data)
        except (sqlite3.Error, OSError) as e:
            logging.warning("disk: a save failed (%s).", e)
            self.loop.call_soon_threadsafe(self.failed)
            return
        self.loop.call_soon_threadsafe(self.done, saves)
