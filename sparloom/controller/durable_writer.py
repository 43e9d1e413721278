"""Writes saves to disk in order and in batches, in a thread of its own that keeps the event loop unblocked."""

from __future__ import annotations

import asyncio
import os
import queue
import sqlite3
import threading
from typing import TYPE_CHECKING

from absl import logging

from sparloom.consensus import Store
from sparloom.consensus.store import UNREADABLE_FILE

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.consensus import Data, Register, Save

# The wait before a failed load or save is retried.
RETRY_INTERVAL_S = 0.1
# On stop, the thread is polled at this interval, and at most this many times.
STOP_POLL_INTERVAL_S = 0.005
MAXIMUM_STOP_POLLS = 100


class DurableWriter:
    """A thread that owns the store and writes to it.

    Saves reach the disk in the order of submission. A failed save is retried
    together with the saves queued after it. The last register and the last data
    of a batch are written in one transaction, so the disk never holds a register
    without the data of an earlier save that it refers to.

    Parameters
    ----------
    folder
        The data directory.
    loop
        The event loop that runs the callbacks.
    on_saved
        Called with the saves that are on disk.
    on_failed
        Called after each failed attempt.
    """

    def __init__(
        self,
        folder: str,
        loop: asyncio.AbstractEventLoop,
        on_saved: Callable[[list[Save]], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.folder, self.loop, self.on_saved, self.on_failed = folder, loop, on_saved, on_failed
        self.store: Store | None = None
        # None stops the thread.
        self._queue: queue.SimpleQueue[Save | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    @property
    def set_aside(self) -> bool:
        """Whether the folder contains an unreadable file that was set aside."""
        return os.path.exists(os.path.join(self.folder, UNREADABLE_FILE))

    async def load(self) -> tuple[Register, Data] | None:
        """Returns the stored register and data, or None if there are none; retries until the disk responds."""
        failure_logged = False
        while True:
            try:
                return await asyncio.to_thread(self._open)
            except (sqlite3.Error, OSError) as error:
                if not failure_logged:
                    logging.warning("disk: load failed error=%r", str(error))
                failure_logged = True
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _open(self) -> tuple[Register, Data] | None:
        if self.store is None:
            self.store = Store.open(self.folder)
        stored: tuple[Register, Data] | None = self.store.load()
        return stored

    def start(self) -> None:
        """Starts the thread; the store must have been loaded."""
        self._thread.start()

    def put(self, save: Save) -> None:
        """Submits a save."""
        self._queue.put(save)

    async def stop(self) -> None:
        """Stops the thread after the pending saves; waits at most half a second for a hung disk."""
        self._queue.put(None)
        for _ in range(MAXIMUM_STOP_POLLS):
            if not self._thread.is_alive():
                return
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def _next_batch(self, timeout_s: float | None) -> list[Save | None]:
        """Returns all queued saves; waits for the first one, without limit if the timeout is None."""
        try:
            batch = [self._queue.get(timeout=timeout_s)]
        except queue.Empty:
            return []
        while not self._queue.empty():
            batch.append(self._queue.get())
        return batch

    def _run(self) -> None:
        assert self.store is not None, "the store must be loaded before the thread starts"
        pending: list[Save] = []
        stopping = False
        while not stopping:
            batch = self._next_batch(RETRY_INTERVAL_S if pending else None)
            stopping = None in batch
            pending += [save for save in batch if save is not None]
            if pending and self._save(self.store, pending):
                pending = []
        self.store.close()

    def _save(self, store: Store, saves: list[Save]) -> bool:
        """Writes the saves in one transaction; returns whether it succeeded."""
        data = next((save.data for save in reversed(saves) if save.data is not None), None)
        try:
            store.save(saves[-1].register, data)
        except (sqlite3.Error, OSError) as error:
            logging.warning("disk: save failed error=%r", str(error))
            self.loop.call_soon_threadsafe(self.on_failed)
            return False
        self.loop.call_soon_threadsafe(self.on_saved, list(saves))
        return True
