"""The command line that both programs share."""

import asyncio
import gc
import json
import os
import sys

from absl import logging

from sparloom import __version__
from sparloom import metrics as meter
from sparloom.launch.bytecode_archive import release
from sparloom.settings import read, startup_path


def _log():
    from mode import Service

    Service.mundane_level = "debug"
    logging.use_absl_handler()
    logging._warn_preinit_stderr = False
    logging.set_verbosity(os.environ.get("SPARLOOM_LOG", "info").lower())
    logging.set_stderrthreshold("info")


def _say(text):
    print(text, file=sys.stderr)


def _lack(name, up):
    if name == "router":
        need = {"listenAddresses.front": up.listen.front, "listenAddresses.readiness": up.listen.readiness}
    else:
        need = {"listenAddresses.control": up.listen.control, "dataDirectory": up.data}
    return next((f"{k} is missing." for k, v in need.items() if not v), None)


def run(name, config=None):
    """Reads the startup file and serves; gives the exit status."""
    path = config or startup_path()
    up = read(path)
    if up.value_or(None) is None:
        _say(f"{name}: {up.failure()}")
        return 2
    lack = _lack(name, up.unwrap())
    if lack:
        _say(f"{name}: {path}: {lack}")
        return 2
    _log()
    meter.start_meter(meter.report_interval() is not None)
    if name == "router":
        from sparloom.router.program import serve
    else:
        from sparloom.controller.program import serve
    release()
    gc.freeze()
    gc.enable()
    try:
        asyncio.run(serve(up.unwrap(), path))
    except OSError as e:
        _say(f"{name}: it can't serve ({e}).")
        return 1
    except (TimeoutError, KeyboardInterrupt):
        pass
    return 0


def _check_policy(path):
    from sparloom.configuration import check, parse

    try:
        with open(path, "rb") as f:
            raw = f.read()
    except OSError as e:
        return f"{path}: the policy can't be read ({e.strerror})."
    res = parse(raw).bind(check)
    return None if res.value_or(None) is not None else f"{path}: {res.failure()}."


def _commands(name):
    def serve(*, config: str = ""):
        """Serve until SIGTERM.

        :param config: path of the startup file; SPARLOOM_CONFIG names it otherwise
        """
        return run(name, config or None)

    def check(*, startup: str = "", policy: str = ""):
        """Say whether a startup file or a policy file is sound.

        :param startup: path of a startup file (TOML)
        :param policy: path of a policy file (JSON)
        """
        if not startup and not policy:
            _say("check: name a file with --startup or --policy.")
            return 2
        bad = None
        if startup:
            res = read(startup)
            bad = None if res.value_or(None) is not None else res.failure()
        if policy and not bad:
            bad = _check_policy(policy)
        print(bad or "sound")
        return 1 if bad else 0

    def beliefs(address: str):
        """Print what a running node believes, as JSON.

        :param address: HOST:PORT of its control or readiness address
        """
        from sparloom.compare.beliefs import fetch

        told = fetch(address)
        if told.value_or(None) is None:
            _say(told.failure())
            return 1
        print(json.dumps(told.unwrap(), indent=2))
        return 0

    return [serve, check, beliefs]


def main(name):
    """Runs a program; with no arguments it serves at once.

    The argument parser is loaded only when there are arguments: it costs more
    time and memory than all else that a start needs.
    """
    if len(sys.argv) < 2:
        sys.exit(run(name))
    import defopt

    sys.exit(defopt.run(_commands(name), version=f"{name} {__version__}", argv=sys.argv[1:]))
