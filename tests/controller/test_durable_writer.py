"""Tests of ``DurableWriter`` and ``Store``: write order, retries and unreadable files."""

import asyncio
import os
import sqlite3
import tempfile
import unittest

from sparloom.consensus import EMPTY, Data, Register, Save, Store
from sparloom.consensus.store import FILE, UNREADABLE_FILE
from sparloom.controller.durable_writer import DurableWriter

DATA = Data(7, 1, 3, b"xyz")


def register(promised, copy_version=0):
    return Register(5, False, promised, [], False, copy_version)


class FailingStore:
    """A store whose next saves fail."""

    def __init__(self, failures):
        self.failures, self.written = failures, []

    def save(self, register, data=None):
        if self.failures:
            self.failures -= 1
            raise sqlite3.OperationalError("database or disk is full")
        self.written.append((register, data))

    def close(self):
        pass


class RetryTest(unittest.IsolatedAsyncioTestCase):
    async def write(self, failures, saves):
        completed_saves, failure_calls, saved = [], [], asyncio.Event()

        def on_saved(saves):
            completed_saves.extend(saves)
            saved.set()

        writer = DurableWriter("/nowhere", asyncio.get_running_loop(), on_saved, lambda: failure_calls.append(1))
        writer.store = FailingStore(failures)
        for save in saves:
            writer.put(save)
        writer.start()
        async with asyncio.timeout(10):
            while len(completed_saves) < len(saves):
                saved.clear()
                await saved.wait()
        await writer.stop()
        return writer.store.written, completed_saves, failure_calls

    async def test_a_failed_copy_is_written_together_with_the_next_register(self):
        """A later save without data must not store a register that refers to a missing copy."""
        first, second = Save(register(7, copy_version=7), DATA, 1), Save(register(9, copy_version=7), None, 2)
        written, completed_saves, failure_calls = await self.write(1, [first, second])
        self.assertEqual(written, [(second.register, DATA)])
        self.assertEqual((completed_saves, failure_calls), ([first, second], [1]))

    async def test_a_failed_save_is_retried_without_a_further_save(self):
        save = Save(register(7), None, 1)
        written, completed_saves, failure_calls = await self.write(2, [save])
        self.assertEqual((written, completed_saves, failure_calls), ([(save.register, None)], [save], [1, 1]))


class StoredFileTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def load_from_disk(self):
        store = Store.open(self.folder)
        self.addCleanup(store.close)
        return store.load()

    def save_to_disk(self, register, data=None):
        store = Store.open(self.folder)
        store.save(register, data)
        store.close()

    def test_a_register_without_a_copy_is_loaded(self):
        self.save_to_disk(register(7))
        self.assertEqual(self.load_from_disk(), (register(7), EMPTY))

    def test_a_register_whose_copy_is_missing_is_not_loaded(self):
        self.save_to_disk(register(7, copy_version=7))
        self.assertIsNone(self.load_from_disk())

    def test_a_file_that_is_not_a_database_is_set_aside(self):
        self.save_to_disk(register(7, copy_version=7), DATA)
        with open(os.path.join(self.folder, FILE), "r+b") as file:
            file.write(b"torn" * 1024)
        self.assertIsNone(self.load_from_disk())
        self.assertIn(UNREADABLE_FILE, os.listdir(self.folder))

    def test_a_register_with_an_unknown_layout_is_not_loaded(self):
        self.save_to_disk(register(7, copy_version=7), DATA)
        store = Store.open(self.folder)
        store.db.execute("UPDATE kept SET body = ? WHERE what = 'register'", (b"old",))
        store.close()
        self.assertIsNone(self.load_from_disk())
