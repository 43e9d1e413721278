"""The command line that both programs share."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
from typing import TYPE_CHECKING, Any

from absl import logging

from sparloom import __version__, metrics
from sparloom.launch.bytecode_archive import release
from sparloom.settings import read, startup_path

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.settings import Settings

EXIT_OK, EXIT_FAILED, EXIT_USAGE = 0, 1, 2
# For how long an operator's order is repeated, in seconds.
ORDER_PATIENCE_S = 15.0


def _set_up_logging() -> None:
    from mode import Service

    Service.mundane_level = "debug"
    logging.use_absl_handler()
    logging._warn_preinit_stderr = False  # type: ignore[attr-defined]  # absl warns of early messages otherwise; it has no public switch
    logging.set_verbosity(os.environ.get("SPARLOOM_LOG", "info").lower())
    logging.set_stderrthreshold("info")


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)


def _missing_setting(name: str, settings: Settings) -> str | None:
    """The sentence that names a setting which this program needs and the file lacks; None where it has all."""
    if name == "router":
        needed: dict[str, object] = {
            "listenAddresses.front": settings.listen.front,
            "listenAddresses.readiness": settings.listen.readiness,
        }
    else:
        needed = {"listenAddresses.control": settings.listen.control, "dataDirectory": settings.data}
    return next((f"{key} is missing." for key, value in needed.items() if not value), None)


def run(name: str, config: str | None = None) -> int:
    """Reads the startup file and serves until the program is told to stop.

    Parameters
    ----------
    name
        ``router`` or ``controller``.
    config
        The path of the startup file; by default the one that ``SPARLOOM_CONFIG`` names.

    Returns
    -------
    int
        The exit status: 0 after a planned stop, 1 when the program can't serve, 2 when its settings are unsound.
    """
    path = config or startup_path()
    settings = read(path)
    if settings.value_or(None) is None:
        _print_error(f"{name}: {settings.failure()}")
        return EXIT_USAGE
    missing = _missing_setting(name, settings.unwrap())
    if missing:
        _print_error(f"{name}: {path}: {missing}")
        return EXIT_USAGE
    _set_up_logging()
    metrics.start_meter(metrics.report_interval() is not None)
    if name == "router":
        from sparloom.router.program import serve
    else:
        from sparloom.controller.program import serve
    release()
    gc.freeze()
    gc.enable()
    try:
        asyncio.run(serve(settings.unwrap(), path))
    except OSError as error:
        _print_error(f"{name}: it can't serve ({error}).")
        return EXIT_FAILED
    except (TimeoutError, KeyboardInterrupt):
        # The stop took longer than its bound, or came from the keyboard; the process ends either way.
        pass
    return EXIT_OK


def _configuration_fault(path: str) -> str | None:
    """What is wrong with a configuration file, in one sentence; None where it is sound."""
    from sparloom.configuration import check, parse

    try:
        with open(path, "rb") as file:
            raw = file.read()
    except OSError as error:
        return f"{path}: the policy can't be read ({error.strerror})."
    checked = parse(raw).bind(check)
    return None if checked.value_or(None) is not None else f"{path}: {checked.failure()}."


def _commands(name: str) -> list[Callable[..., int]]:
    def serve(*, config: str = "") -> int:
        """Serve until SIGTERM.

        :param config: path of the startup file; SPARLOOM_CONFIG names it otherwise
        """
        return run(name, config or None)

    def check(*, startup: str = "", policy: str = "") -> int:
        """Say whether a startup file or a policy file is sound.

        :param startup: path of a startup file (TOML)
        :param policy: path of a policy file (JSON)
        """
        if not startup and not policy:
            _print_error("check: name a file with --startup or --policy.")
            return EXIT_USAGE
        fault = None
        if startup:
            settings = read(startup)
            fault = None if settings.value_or(None) is not None else str(settings.failure())
        if policy and not fault:
            fault = _configuration_fault(policy)
        print(fault or "sound")
        return EXIT_FAILED if fault else EXIT_OK

    return [serve, check, *_node_commands(), *(_controller_commands() if name == "controller" else ())]


def _node_commands() -> list[Callable[..., int]]:
    """The commands that ask running nodes what they believe."""

    def beliefs(address: str) -> int:
        """Print what a running node believes, as JSON.

        :param address: HOST:PORT of its control or readiness address
        """
        from sparloom.compare.beliefs import fetch

        fetched = fetch(address)
        if fetched.value_or(None) is None:
            _print_error(str(fetched.failure()))
            return EXIT_FAILED
        print(json.dumps(fetched.unwrap(), indent=2))
        return EXIT_OK

    def zones(*addresses: str) -> int:
        """Print what running nodes believe of the zones, a line for each zone.

        :param addresses: HOST:PORT of control or readiness addresses
        """
        from sparloom.compare.beliefs import fetch
        from sparloom.compare.zones import zone_lines

        status = EXIT_OK
        for address in addresses:
            fetched = fetch(address)
            if fetched.value_or(None) is None:
                _print_error(str(fetched.failure()))
                status = EXIT_FAILED
            for line in zone_lines(fetched.value_or({})):
                print(line)
        return status

    return [beliefs, zones]


def _call_controllers(addresses: tuple[str, ...], method: str, path: str, body: Any = None) -> Any:
    """The body of controllers' answer; None, and a sentence on standard error, where there is none."""
    from sparloom.controller.operator_client import call_until_answered

    if not addresses:
        _print_error("name at least one control address, HOST:PORT.")
        return None
    called = call_until_answered(addresses, method, path, ORDER_PATIENCE_S, body)
    if called.value_or(None) is None:
        _print_error(f"{called.failure()}.")
    return called.value_or(None)


def _controller_commands() -> list[Callable[..., int]]:
    from urllib.parse import quote

    from sparloom.controller.operator_client import EVACUATIONS_PATH

    def evacuate(zone: str, *addresses: str) -> int:
        """Have nothing more sent to the runners of a zone, until it is taken back with restore.

        :param zone: the zone's name
        :param addresses: HOST:PORT of control addresses; the order is repeated until it is acknowledged
        """
        answer = _call_controllers(addresses, "POST", f"{EVACUATIONS_PATH}/{quote(zone, safe='')}")
        if answer is None:
            return EXIT_FAILED
        print(f"{zone} is evacuated")
        if "warning" in answer:
            _print_error(f"warning: {answer['warning']}.")
        return EXIT_OK

    def restore(zone: str, *addresses: str) -> int:
        """Take back a zone that was evacuated.

        :param zone: the zone's name
        :param addresses: HOST:PORT of control addresses; the order is repeated until it is acknowledged
        """
        answer = _call_controllers(addresses, "DELETE", f"{EVACUATIONS_PATH}/{quote(zone, safe='')}")
        if answer is None:
            return EXIT_FAILED
        print(f"{zone} is taken back")
        return EXIT_OK

    def evacuated(*addresses: str) -> int:
        """Print the zones that are evacuated, a line each.

        :param addresses: HOST:PORT of control addresses
        """
        answer = _call_controllers(addresses, "GET", EVACUATIONS_PATH)
        if answer is None:
            return EXIT_FAILED
        for zone in answer["zones"]:
            print(zone)
        return EXIT_OK

    return [evacuate, restore, evacuated, *_rollout_commands()]


def _rollout_commands() -> list[Callable[..., int]]:
    from urllib.parse import quote

    from sparloom.controller.operator_client import ROLLOUTS_PATH

    def roll_out(service: str, version: str, seconds: float, *addresses: str) -> int:
        """Move a service's requests to the runners of another version, if it proves good in time.

        :param service: the service's name
        :param version: the version, as the platform lists it
        :param seconds: within this time it is to be done; a version that isn't shown good by then is rolled back
        :param addresses: HOST:PORT of control addresses; the order is repeated until it is acknowledged
        """
        order = {"service": service, "targetVersion": version, "durationS": seconds}
        if _call_controllers(addresses, "POST", ROLLOUTS_PATH, order) is None:
            return EXIT_FAILED
        print(f"{service} is rolled out to {version}")
        return EXIT_OK

    def rollout(service: str, *addresses: str) -> int:
        """Print what has become of a service's newest roll-out.

        :param service: the service's name
        :param addresses: HOST:PORT of control addresses
        """
        answer = _call_controllers(addresses, "GET", f"{ROLLOUTS_PATH}/{quote(service, safe='')}")
        if answer is None:
            return EXIT_FAILED
        reason = f": {answer['reason']}" if "reason" in answer else f" at step {answer['step']}"
        print(f"{service} to {answer['targetVersion']}: {answer['state']}{reason}")
        return EXIT_OK

    return [roll_out, rollout]


def main(name: str) -> None:
    """Runs a program and exits with its status; with no arguments it serves at once.

    The argument parser is loaded only when there are arguments: it costs more
    time and memory than all else that a start needs.
    """
    if len(sys.argv) < 2:
        sys.exit(run(name))
    import defopt

    sys.exit(defopt.run(_commands(name), version=f"{name} {__version__}", argv=sys.argv[1:]))
