"""The thread that owns the disk: saves in order, many at a time, without blocking the event loop."""

from __future__ import annotations

import asyncio
import os
import queue
import sqlite3
import threading
from typing import TYPE_CHECKING

from absl import logging

from sparloom.consensus import Store
from sparloom.consensus.store import SET_ASIDE

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.consensus import Data, Register, Save

RETRY_S = 0.1
STOP_POLL_S = 0.005
STOP_POLLS = 100


class DurableWriter:
    """A thread with the store.

    Saves reach the disk in the order in which they were submitted. One that
    fails is retried together with those behind it: the last register and the
    last data are written in one transaction, so the disk never holds a later
    register whose data, from an earlier save, is missing.

    Parameters
    ----------
    folder
        The data directory.
    loop
        The event loop in which the callbacks run.
    on_saved
        Called with the saves that have reached the disk.
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
        # None asks the thread to end.
        self._queue: queue.SimpleQueue[Save | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)

    @property
    def set_aside(self) -> bool:
        """Whether the folder holds a file that could not be read and was set aside."""
        return os.path.exists(os.path.join(self.folder, SET_ASIDE))

    async def load(self) -> tuple[Register, Data] | None:
        """Returns what the disk holds, or None; retries for as long as the disk fails or hangs."""
        warned = False
        while True:
            try:
                return await asyncio.to_thread(self._open)
            except (sqlite3.Error, OSError) as error:
                if not warned:
                    logging.warning("disk: load failed error=%r", str(error))
                warned = True
                await asyncio.sleep(RETRY_S)

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
        """Ends the thread after the pending saves; a disk that hangs is waited for half a second at most."""
        self._queue.put(None)
        for _ in range(STOP_POLLS):
            if not self._thread.is_alive():
                return
            await asyncio.sleep(STOP_POLL_S)

    def _next_batch(self, timeout_s: float | None) -> list[Save | None]:
        """All queued saves; waits for the first one, without limit if the time-out is None."""
        try:
            batch = [self._queue.get(timeout=timeout_s)]
        except queue.Empty:
            return []
        while not self._queue.empty():
            batch.append(self._queue.get())
        return batch

    def _run(self) -> None:
        assert self.store is not None, "the thread was started before the store was loaded"
        pending: list[Save] = []
        ending = False
        while not ending:
            batch = self._next_batch(RETRY_S if pending else None)
            ending = None in batch
            pending += [save for save in batch if save is not None]
            if pending and self._save(self.store, pending):
                pending = []
        self.store.close()

    def _save(self, store: Store, saves: list[Save]) -> bool:
        """Writes the saves as one transaction; returns whether they are on disk."""
        data = next((save.data for save in reversed(saves) if save.data is not None), None)
        try:
            store.save(saves[-1].register, data)
        except (sqlite3.Error, OSError) as error:
            logging.warning("disk: save failed error=%r", str(error))
            self.loop.call_soon_threadsafe(self.on_failed)
            return False
        self.loop.call_soon_threadsafe(self.on_saved, list(saves))
        return True
