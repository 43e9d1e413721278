"""Command line of the ``router`` and ``controller`` programs."""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
from typing import TYPE_CHECKING, Any

from absl import logging

from sparloom import __version__, metrics
from sparloom.launch.bytecode_archive import uninstall_archives
from sparloom.settings import read, startup_path

if TYPE_CHECKING:
    from collections.abc import Callable

    from sparloom.settings import Settings

EXIT_OK, EXIT_FAILED, EXIT_USAGE = 0, 1, 2
# Limits how long the command line resends an operator's command that no controller has acknowledged.
COMMAND_RETRY_TIMEOUT_S = 15.0


def _configure_logging() -> None:
    from mode import Service

    Service.mundane_level = "debug"
    logging.use_absl_handler()
    logging._warn_preinit_stderr = False  # type: ignore[attr-defined]  # disables absl's warning about messages logged before its initialisation; there is no public option
    logging.set_verbosity(os.environ.get("SPARLOOM_LOG", "info").lower())
    logging.set_stderrthreshold("info")


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)


def _missing_setting_error(name: str, settings: Settings) -> str | None:
    """Returns an error message for the first required setting that the startup file lacks; None if it has them all."""
    if name == "router":
        required: dict[str, object] = {
            "listenAddresses.front": settings.listen.front,
            "listenAddresses.readiness": settings.listen.readiness,
        }
    else:
        required = {"listenAddresses.control": settings.listen.control, "dataDirectory": settings.data}
    return next((f"{key} is missing." for key, value in required.items() if not value), None)


def run(name: str, config: str | None = None) -> int:
    """Reads the startup file and serves until SIGTERM or SIGINT.

    Parameters
    ----------
    name
        ``router`` or ``controller``.
    config
        Path of the startup file; defaults to the path in ``SPARLOOM_CONFIG``.

    Returns
    -------
    int
        Exit status: 0 after a graceful shutdown, 1 if the program can't serve, 2 if the settings are invalid.
    """
    path = config or startup_path()
    settings = read(path)
    if settings.value_or(None) is None:
        _print_error(f"{name}: {settings.failure()}")
        return EXIT_USAGE
    missing = _missing_setting_error(name, settings.unwrap())
    if missing:
        _print_error(f"{name}: {path}: {missing}")
        return EXIT_USAGE
    _configure_logging()
    metrics.start_meter(metrics.report_interval() is not None)
    if name == "router":
        from sparloom.router.program import serve
    else:
        from sparloom.controller.program import serve
    uninstall_archives()
    gc.freeze()
    gc.enable()
    try:
        asyncio.run(serve(settings.unwrap(), path))
    except OSError as error:
        _print_error(f"{name}: can't serve ({error}).")
        return EXIT_FAILED
    except (TimeoutError, KeyboardInterrupt):
        # The shutdown exceeded its timeout or was interrupted from the keyboard. The process exits either way.
        pass
    return EXIT_OK


def _configuration_error(path: str) -> str | None:
    """Returns an error message for an invalid configuration file; None if it is valid."""
    from sparloom.configuration.check import check, parse

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

        :param config: path of the startup file; defaults to the path in SPARLOOM_CONFIG
        """
        return run(name, config or None)

    def check(*, startup: str = "", policy: str = "") -> int:
        """Validate a startup file or a policy file.

        :param startup: path of a startup file (TOML)
        :param policy: path of a policy file (JSON)
        """
        if not startup and not policy:
            _print_error("check: --startup or --policy is required.")
            return EXIT_USAGE
        error = None
        if startup:
            settings = read(startup)
            error = None if settings.value_or(None) is not None else str(settings.failure())
        if policy and not error:
            error = _configuration_error(policy)
        print(error or "sound")
        return EXIT_FAILED if error else EXIT_OK

    return [serve, check, *_node_commands(), *(_controller_commands() if name == "controller" else ())]


def _node_commands() -> list[Callable[..., int]]:
    """Commands that query the state of running nodes."""

    def beliefs(address: str) -> int:
        """Print a running node's view of the fleet (its beliefs) as JSON.

        :param address: HOST:PORT of its control or readiness address
        """
        from sparloom.compare.beliefs import fetch_beliefs

        fetched = fetch_beliefs(address)
        if fetched.value_or(None) is None:
            _print_error(str(fetched.failure()))
            return EXIT_FAILED
        print(json.dumps(fetched.unwrap(), indent=2))
        return EXIT_OK

    def zones(*addresses: str) -> int:
        """Print the zone states that running nodes report, one line per zone.

        :param addresses: HOST:PORT of control or readiness addresses
        """
        from sparloom.compare.beliefs import fetch_beliefs
        from sparloom.compare.zones import zone_lines

        status = EXIT_OK
        for address in addresses:
            fetched = fetch_beliefs(address)
            if fetched.value_or(None) is None:
                _print_error(str(fetched.failure()))
                status = EXIT_FAILED
            for line in zone_lines(fetched.value_or({})):
                print(line)
        return status

    return [beliefs, zones]


def _call_controllers(addresses: tuple[str, ...], method: str, path: str, body: Any = None) -> Any:
    """Returns the response body of the first controller that answers; prints an error and returns None if none does."""
    from sparloom.controller.operator_client import call_until_answered

    if not addresses:
        _print_error("at least one control address (HOST:PORT) is required.")
        return None
    response = call_until_answered(addresses, method, path, COMMAND_RETRY_TIMEOUT_S, body)
    if response.value_or(None) is None:
        _print_error(f"{response.failure()}.")
    return response.value_or(None)


def _controller_commands() -> list[Callable[..., int]]:
    from urllib.parse import quote

    from sparloom.controller.operator_client import EVACUATIONS_PATH

    def evacuate(zone: str, *addresses: str) -> int:
        """Stop sending requests to the runners of a zone until the zone is restored.

        :param zone: the zone's name
        :param addresses: HOST:PORT of control addresses; the command is resent until one acknowledges it
        """
        answer = _call_controllers(addresses, "POST", f"{EVACUATIONS_PATH}/{quote(zone, safe='')}")
        if answer is None:
            return EXIT_FAILED
        print(f"{zone} is evacuated")
        if "warning" in answer:
            _print_error(f"warning: {answer['warning']}.")
        return EXIT_OK

    def restore(zone: str, *addresses: str) -> int:
        """Return an evacuated zone to service.

        :param zone: the zone's name
        :param addresses: HOST:PORT of control addresses; the command is resent until one acknowledges it
        """
        answer = _call_controllers(addresses, "DELETE", f"{EVACUATIONS_PATH}/{quote(zone, safe='')}")
        if answer is None:
            return EXIT_FAILED
        print(f"{zone} is taken back")
        return EXIT_OK

    def evacuated(*addresses: str) -> int:
        """Print the evacuated zones, one per line.

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
        """Move a service's requests to the runners of another version; roll back unless it proves healthy in time.

        :param service: the service's name
        :param version: the target version, as listed by the platform
        :param seconds: deadline of the roll-out; a version that is not proven healthy by then is rolled back
        :param addresses: HOST:PORT of control addresses; the command is resent until one acknowledges it
        """
        order = {"service": service, "targetVersion": version, "durationS": seconds}
        if _call_controllers(addresses, "POST", ROLLOUTS_PATH, order) is None:
            return EXIT_FAILED
        print(f"{service} is rolled out to {version}")
        return EXIT_OK

    def rollout(service: str, *addresses: str) -> int:
        """Print the state of a service's latest roll-out.

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
    """Runs a program and exits with its status; without arguments it serves.

    The argument parser is imported only if there are arguments, because it takes
    more time and memory than everything else that a start needs.
    """
    if len(sys.argv) < 2:
        sys.exit(run(name))
    import defopt

    sys.exit(defopt.run(_commands(name), version=f"{name} {__version__}", argv=sys.argv[1:]))
