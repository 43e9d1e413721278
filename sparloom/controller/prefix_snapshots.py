"""Remembers for the routers which runner has which long prefix cached, also over a loss of all power."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING

from absl import logging
from mode import Service

from sparloom.prefix_cache import PlacementQuery, PlacementTable, PrefixPlacements

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.codec import Record

FILE = "prefixes"


class PrefixSnapshots(Service):
    """Collects the routers' prefix placements, answers routers that start, and saves the table to a file.

    The table is a hint only: a file that is late, lost or torn costs some
    prefill. A thread replaces the whole file, one save at a time, so a slow
    disk delays nothing else.

    Parameters
    ----------
    folder
        The data directory.
    send
        Sends a record by datagram to HOST:PORT.
    interval_s
        Seconds between saves.
    """

    def __init__(self, folder: str, send: Callable[[str, Record], None], interval_s: float) -> None:
        super().__init__()
        self.path, self.send, self.interval_s = os.path.join(folder, FILE), send, interval_s
        self.placements = PlacementTable()

    def load(self) -> None:
        """Reads the file; without one the table stays empty."""
        try:
            with open(self.path, "rb") as file:
                self.placements = PlacementTable.unpack(file.read())
        except OSError:
            pass
        logging.info("prefixes: loaded count=%d", len(self.placements.items))

    def receive(self, sender: str, record: Record) -> bool:
        """Takes a router's record; returns whether it was one about prefixes."""
        if isinstance(record, PrefixPlacements):
            self.placements.add(record.placements)
        elif isinstance(record, PlacementQuery):
            for answer in self.placements.to_records():
                self.send(sender, answer)
        else:
            return False
        return True

    @Service.task
    async def _save_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.interval_s)
            if self.placements.changed:
                # Reset before the save: what comes meanwhile belongs to the next one.
                self.placements.changed = False
                try:
                    await asyncio.to_thread(self._write, self.placements.pack())
                except OSError as error:
                    logging.info("prefixes: save failed error=%r", str(error))

    def _write(self, raw: bytes) -> None:
        new = self.path + ".new"
        with open(new, "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new, self.path)
        # Without this the rename itself could be lost with the power.
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
