"""Stores which runner has which long prompt prefix cached, so that the routers keep this across a power loss."""

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
    """Collects prefix placements from routers, sends them to starting routers, and saves them to a file.

    The table is only a hint: an outdated, lost or corrupted file costs some
    extra prefill. A thread replaces the whole file, one save at a time, so a
    slow disk does not block the event loop.

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
        """Loads the file; if there is none, the table stays empty."""
        try:
            with open(self.path, "rb") as file:
                self.placements = PlacementTable.unpack(file.read())
        except OSError:
            pass
        logging.info("prefixes: loaded count=%d", len(self.placements.items))

    def receive(self, sender: str, record: Record) -> bool:
        """Handles a record from a router; returns whether it was a prefix record."""
        if isinstance(record, PrefixPlacements):
            self.placements.add(record.placements)
        elif isinstance(record, PlacementQuery):
            for placements_record in self.placements.to_records():
                self.send(sender, placements_record)
        else:
            return False
        return True

    @Service.task
    async def _save_periodically(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(self.interval_s)
            if self.placements.changed:
                # Reset before the save, so that changes during the save trigger the next one.
                self.placements.changed = False
                try:
                    await asyncio.to_thread(self._write, self.placements.pack())
                except OSError as error:
                    logging.info("prefixes: save failed error=%r", str(error))

    def _write(self, raw: bytes) -> None:
        new_path = self.path + ".new"
        with open(new_path, "wb") as file:
            file.write(raw)
            file.flush()
            os.fsync(file.fileno())
        os.replace(new_path, self.path)
        # Without this fsync a power loss could undo the rename.
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
