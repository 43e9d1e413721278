"""Golden bytes: what is on the wire and on disk stays as it was, whatever the code calls it.

All that lies in ``tests/golden`` was written by commit 37b1e3e. It must never be
regenerated from newer code: programs and disks of that commit must be understood,
and must understand what is written now. A new kind of record gets bytes of its
own, added by hand beside the old ones. Values are compared by position, and
records are looked up by their tag, so classes and fields may get other names;
``tests/golden_names.py`` is the one place that follows a rename.
"""

from __future__ import annotations

import copy
import importlib
import json
import os
import pkgutil
import shutil
import sqlite3
import tempfile
import tomllib
import unittest
import zlib
from functools import cache
from typing import Any

import sparloom
import sparloom.controller as controller_package
import sparloom.router as router_package

from . import golden_names as names
from .controller import test_program as test_control
from .golden_names import kinds_of, plain
from .support import router_fixture as rig

FOLDER = os.path.join(os.path.dirname(os.path.abspath(__file__)), "golden")
TEST_TAGS = range(248, 256)


@cache
def golden() -> dict[str, Any]:
    """The golden values; callers leave them as they are."""
    with open(os.path.join(FOLDER, "golden.json"), encoding="utf-8") as file:
        return json.load(file)


def plain_kind(kind: Any) -> Any:
    """A field's kind with record classes named by their tags."""
    if isinstance(kind, list):
        return {"list": plain_kind(kind[0])}
    return {"record": kind.tag} if isinstance(kind, type) else kind


def filled(cls: type, values: list) -> Any:
    """The record of a class with plain values, given by position."""
    return cls(*(_filled_field(kind, value) for kind, value in zip(kinds_of(cls), values, strict=True)))


def _filled_field(kind: Any, value: Any) -> Any:
    if isinstance(kind, list):
        return [_filled_field(kind[0], item) for item in value]
    if isinstance(kind, type):
        return filled(kind, value)
    return bytes.fromhex(value["hex"]) if kind == "b" else value


def program_tags() -> set[int]:
    """The tags of all records that the programs register."""
    for package in (sparloom, router_package, controller_package):
        for module in pkgutil.walk_packages(package.__path__, package.__name__ + "."):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)
    return {tag for tag in names.BY_TAG if tag not in TEST_TAGS}


def paths_in(table: dict, before: tuple = ()) -> list[tuple]:
    """The paths of all keys of a table, inner tables' too."""
    out = []
    for key, value in table.items():
        out.append((*before, key))
        for inner in [value] if isinstance(value, dict) else []:
            out += paths_in(inner, (*before, key))
    return out


def without(table: dict, path: tuple) -> dict:
    """A copy of a table that lacks one key."""
    out = inner = copy.deepcopy(table)
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return out


class Records(unittest.TestCase):
    """Every record of the wire and of the disk."""

    def test_every_record_of_the_programs_has_golden_bytes_and_none_is_gone(self) -> None:
        self.assertEqual(program_tags(), {int(tag) for tag in golden()["records"]})

    def test_the_fields_kinds_and_their_order_are_as_they_were(self) -> None:
        for tag, record in golden()["records"].items():
            with self.subTest(tag):
                self.assertEqual([plain_kind(kind) for kind in kinds_of(names.BY_TAG[int(tag)])], record["layout"])

    def test_golden_bytes_are_read_as_the_values_that_were_written(self) -> None:
        for tag, record in golden()["records"].items():
            with self.subTest(tag):
                got = names.unpack(bytes.fromhex(record["bytes"]))
                self.assertIs(type(got), names.BY_TAG[int(tag)])
                self.assertEqual(plain(got), record["values"])
                self.assertEqual(names.pack(got).hex(), record["bytes"])

    def test_the_values_are_written_as_the_golden_bytes(self) -> None:
        for tag, record in golden()["records"].items():
            with self.subTest(tag):
                self.assertEqual(names.pack(filled(names.BY_TAG[int(tag)], record["values"])).hex(), record["bytes"])

    def test_a_pipe_carries_records_as_before(self) -> None:
        record, raw = golden()["records"]["60"], bytes.fromhex(golden()["frame"])
        self.assertEqual(plain(names.unframed(raw)), record["values"])
        self.assertEqual(names.frame(names.unpack(bytes.fromhex(record["bytes"]))), raw)


class Feed(unittest.TestCase):
    """What changes carry: whole states and steps of both topics.

    Compressed bytes may differ between builds of zlib, so those written now are
    compared after they are unpacked; the golden ones are read as they are.
    """

    def states(self) -> list[tuple[int, Any, Any]]:
        """Of each topic: its number, an older state and a newer one."""
        feed = golden()["feed"]
        lists = [names.unpack(bytes.fromhex(raw)) for raw in feed["lists"]]
        return [(0, *feed["policies"]), (1, *lists)]

    def test_the_topics_keep_their_numbers(self) -> None:
        self.assertEqual([names.CONFIGURATION, names.ENDPOINTS], [0, 1])

    def test_states_and_steps_are_written_as_before(self) -> None:
        for topic, old, new in self.states():
            with self.subTest(topic):
                made = [
                    names.encode_state(topic, old),
                    names.encode_state(topic, new),
                    names.encode_delta(topic, old, new, 1 << 20),
                ]
                blobs = [bytes.fromhex(blob) for blob in golden()["feed"]["blobs"][topic]]
                self.assertEqual([*map(zlib.decompress, made)], [*map(zlib.decompress, blobs)])

    def test_golden_states_and_steps_are_taken(self) -> None:
        for topic, old, new in self.states():
            with self.subTest(topic):
                first, second, step = (bytes.fromhex(blob) for blob in golden()["feed"]["blobs"][topic])
                self.assertEqual(names.apply_change(names.Change(topic, 1, 1, 0, 0, first), None), old)
                self.assertEqual(names.apply_change(names.Change(topic, 1, 2, 0, 0, second), None), new)
                self.assertEqual(names.apply_change(names.Change(topic, 1, 2, 1, 1, step), old), new)


class ControlState(unittest.TestCase):
    """The blob of the control state, of all versions."""

    def test_golden_blobs_are_read(self) -> None:
        for version, blob in golden()["state"].items():
            with self.subTest(version):
                # Versions 1 and 2 have no evacuated zones, 3 no duties, 4 no roll-outs, 5 no holders of rates; the
                # bytes of 3 to 6 were written by hand.
                lacking = [[], None, None, None]
                values = [*blob["values"], *lacking[max(0, int(version) - 2) :]]
                self.assertEqual(plain(names.State.unpack(bytes.fromhex(blob["bytes"]))), values)

    def test_a_state_with_evacuated_zones_is_written_as_by_hand(self) -> None:
        raw = bytes.fromhex(golden()["state"]["3"]["bytes"])
        self.assertEqual(names.State.unpack(raw).pack(), raw)

    def test_a_state_with_duties_is_written_as_by_hand(self) -> None:
        raw = bytes.fromhex(golden()["state"]["4"]["bytes"])
        self.assertEqual(names.State.unpack(raw).pack(), raw)

    def test_a_state_with_rollouts_is_written_as_by_hand(self) -> None:
        raw = bytes.fromhex(golden()["state"]["5"]["bytes"])
        self.assertEqual(names.State.unpack(raw).pack(), raw)

    def test_a_state_with_holders_of_rates_is_written_as_by_hand(self) -> None:
        raw = bytes.fromhex(golden()["state"]["6"]["bytes"])
        self.assertEqual(names.State.unpack(raw).pack(), raw)

    def test_the_state_is_written_as_before(self) -> None:
        blob = golden()["state"]["2"]
        raw = bytes.fromhex(blob["bytes"])
        made, head = names.State.unpack(raw).pack(), blob["head"]
        self.assertEqual(made[:head], raw[:head])
        self.assertEqual(zlib.decompress(made[head:]), zlib.decompress(raw[head:]))


class Calls(unittest.TestCase):
    """Names, paths and answers of what is called over HTTP."""

    def test_header_names(self) -> None:
        self.assertEqual(list(names.HEADER_NAMES), golden()["headers"])
        self.assertEqual(sorted(names.HOP_HEADERS), golden()["hop"])

    def test_the_names_of_outcomes_in_beliefs(self) -> None:
        self.assertEqual(names.OUTCOMES, golden()["outcomes"])

    def test_headers_of_an_attempt(self) -> None:
        self.assertEqual(names.attempt_headers(), golden()["attempt"])

    def test_control_paths(self) -> None:
        self.assertEqual(names.control_paths(), golden()["paths"])
        self.assertEqual([names.LARGEST_BODY, names.RETRY_AFTER], golden()["control"])

    def test_control_answers(self) -> None:
        self.assertEqual(names.control_answers(), golden()["answers"])

    def test_numbers_that_all_processes_work_out_alike(self) -> None:
        self.assertEqual(names.numbers(golden()["peers"], golden()["counts"]), golden()["numbers"])


class Running(unittest.IsolatedAsyncioTestCase):
    """A controller and a router on loopback: what only running programs answer."""

    # The parts of that case, without its tests.
    asyncSetUp, asyncTearDown = test_control.Case.asyncSetUp, test_control.Case.asyncTearDown
    until, call = test_control.Case.until, test_control.Case.call
    bounds, cloud, contracts = test_control.Case.bounds, test_control.Case.cloud, test_control.Case.contracts

    async def gather(self) -> dict[str, Any]:
        """The keys of both programs' beliefs, and the readiness address's statuses before and after news."""
        router = names.Router(self.edge, "/nowhere")
        await router.start()
        try:
            statuses = [await self.status(self.ready)]
            await self.call("PUT", rig.POLICY, 0)
            await self.until(names.readiness_of(router))
            statuses += [await self.status(self.ready), await self.status(self.ready.replace("/ready", "/other"))]
            mine = await self.beliefs(self.url.replace("configuration", "beliefs"))
            edge = await self.beliefs(self.ready.replace("ready", "beliefs"))
            keys = {"controller": list(mine), "view": list(mine["view"]), "router": list(edge)}
            inner = {key: list(edge[key]) for key in ("tier", "requests")}
            said = [mine["role"], edge["role"], sorted({*mine["members"].values(), *edge["members"].values()})]
            return {"keys": keys, "inner": inner, "said": said, "statuses": statuses}
        finally:
            await router.stop()

    async def status(self, url: str) -> int:
        """The status of an answer."""
        async with self.http.get(url) as reply:
            return reply.status

    async def beliefs(self, url: str) -> dict[str, Any]:
        """What a program believes."""
        async with self.http.get(url) as reply:
            return json.loads(await reply.read())

    async def test_keys_of_beliefs_and_statuses_of_readiness(self) -> None:
        self.assertEqual(await self.gather(), golden()["running"])


class Disk(unittest.TestCase):
    """A data directory that was written by commit 37b1e3e."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = os.path.join(folder.name, "data")
        shutil.copytree(os.path.join(FOLDER, "data"), self.folder)

    def table(self) -> dict[str, Any]:
        """What a plain SQLite reader sees in the file."""
        db = sqlite3.connect(os.path.join(self.folder, "ledger.db"))
        try:
            tables = [row[0] for row in db.execute("SELECT name FROM sqlite_master WHERE type = 'table' ORDER BY name")]
            columns = [list(row[1:]) for row in db.execute("PRAGMA table_info(kept)")]
            rows = {what: body.hex() for what, body in db.execute("SELECT what, body FROM kept ORDER BY what")}
        finally:
            db.close()
        return {"tables": tables, "columns": columns, "rows": rows}

    def test_file_names(self) -> None:
        self.assertEqual(list(names.FILE_NAMES), golden()["files"])
        self.assertEqual(sorted(os.listdir(self.folder)), ["ledger.db", "ledger.db-journal", "prefixes"])

    def test_the_register_and_the_data_are_read_and_written_again(self) -> None:
        disk = golden()["disk"]
        self.assertEqual(self.table(), disk["table"])
        kept = names.Store.open(self.folder)
        try:
            loaded = kept.load()
            self.assertEqual(plain(loaded), disk["values"])
            kept.db.execute("DELETE FROM kept")
            kept.save(*loaded)
        finally:
            kept.close()
        self.assertEqual(self.table(), disk["table"])
        self.assertEqual(sorted(os.listdir(self.folder)), ["ledger.db", "ledger.db-journal", "prefixes"])

    def test_a_new_file_has_the_same_table_and_rows(self) -> None:
        kept = names.Store.open(self.folder)
        loaded = kept.load()
        kept.close()
        self.folder = os.path.join(self.folder, "new")
        kept = names.Store.open(self.folder)
        kept.save(*loaded)
        kept.close()
        self.assertEqual(self.table(), golden()["disk"]["table"])

    def test_the_remembered_prefixes_are_read_and_written_again(self) -> None:
        with open(os.path.join(self.folder, "prefixes"), "rb") as file:
            raw = file.read()
        memory = names.PlacementTable.unpack(raw)
        self.assertEqual(plain(memory.items), golden()["prefixes"])
        self.assertEqual(memory.pack(), raw)

    def test_the_service_reads_and_writes_the_same_file(self) -> None:
        path = os.path.join(self.folder, "prefixes")
        with open(path, "rb") as file:
            raw = file.read()
        names.kept_again(self.folder)
        with open(path, "rb") as file:
            self.assertEqual(file.read(), raw)


class Settings(unittest.TestCase):
    """The keys of the startup file and of the deploy file."""

    def parsed(self, name: str) -> Any:
        """The plain values of a startup file."""
        return plain(names.read(os.path.join(FOLDER, name)).unwrap())

    def expected(self, name: str) -> Any:
        """What a startup file held for 37b1e3e, and by hand behind it what it holds for fields that came later."""
        return golden()["startup"][name] + golden()["startup"]["since"][name]

    def test_where_the_startup_file_is(self) -> None:
        self.assertEqual(list(names.START_PLACES), golden()["startup"]["places"])

    def test_a_filled_startup_file_is_read_as_before(self) -> None:
        self.assertEqual(self.parsed("filled.toml"), self.expected("filled"))

    def test_the_least_startup_file_is_read_as_before(self) -> None:
        self.assertEqual(self.parsed("least.toml"), self.expected("least"))

    def test_every_key_of_the_filled_file_is_read(self) -> None:
        """A startup file that lacks any one of the keys is refused, or says something else."""
        with open(os.path.join(FOLDER, "filled.toml"), "rb") as file:
            table = tomllib.load(file)
        paths = paths_in(table)
        self.assertEqual([".".join(path) for path in paths], golden()["startup"]["keys"])
        for path in paths:
            with self.subTest(".".join(path)):
                result = names.from_dict(without(table, path))
                self.assertNotEqual(plain(result.value_or(None)), self.expected("filled"))

    def test_the_deploy_file_keeps_its_keys(self) -> None:
        with open(os.path.join(os.path.dirname(FOLDER), "..", "deploy", "system.toml"), "rb") as file:
            table = tomllib.load(file)
        self.assertEqual([".".join(path) for path in paths_in(table)], golden()["deploy"]["keys"])
        roles = {name: [role[key] for key in ("on", "share", "serves")] for name, role in table["roles"].items()}
        self.assertEqual(roles, golden()["deploy"]["roles"])


if __name__ == "__main__":
    unittest.main()
