"""Local trial: runs a fake platform and two fake runners and writes the files that the programs need."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys

import defopt

from .platform import Platform
from .runner import Runner

DIRECTORY = os.path.join("target", "try")
SETTINGS_TEMPLATE = """role = "{role}"
nodeName = "{role}-1"
ipAddress = "127.0.0.1"
zone = "z1"
internalPortRange = [18300, 18315]
seedNodes = ["127.0.0.1:18262"]
firstStart = true
{extra_settings}
[listenAddresses]
{listen}
[cloudApi]
address = "127.0.0.1:18266"
ratePerS = 10.0
"""
POLICY = {
    "revision": 1,
    "routes": [
        {
            "name": "talk",
            "hostname": "try.example",
            "pathPrefix": "/talk/",
            "routeKind": "streaming",
            "timeoutMs": 60000,
            "targetMs": 800,
            "service": "talkers",
            "maxAttempts": 2,
            "resumeStreams": True,
            "gapTargetMs": 500,
        }
    ],
    "services": [{"name": "talkers", "connectionLimit": 64, "engine": {"slots": 8, "cacheTokens": 100000}}],
}


def _write_files(directory: str) -> None:
    data_directory = os.path.abspath(os.path.join(directory, "data"))
    os.makedirs(data_directory, exist_ok=True)
    files = {
        "controller.toml": SETTINGS_TEMPLATE.format(
            role="controller",
            extra_settings=f'dataDirectory = "{data_directory}"',
            listen='control = "127.0.0.1:18262"',
        ),
        "router.toml": SETTINGS_TEMPLATE.format(
            role="router", extra_settings="", listen='front = "127.0.0.1:18263"\nreadiness = "127.0.0.1:18268"'
        ),
        "policy.json": json.dumps(POLICY, indent=1),
    }
    for name, text in files.items():
        with open(os.path.join(directory, name), "w", encoding="utf-8") as file:
            file.write(text)


async def _serve(events: int, pause: float) -> None:
    # The runners and the platform serve until the process exits.
    runners = [await Runner(id=f"i-{i}", events=events, pause=pause).start(port=18401 + i) for i in range(2)]
    await Platform([Platform.entry(runner.id, "talkers", f"127.0.0.1:{runner.port}") for runner in runners]).start(
        port=18266
    )
    print(f"Platform on 127.0.0.1:18266 with two runners; files in {DIRECTORY}. Stop with Ctrl-C.", flush=True)
    await asyncio.Event().wait()


def main(*, events: int = 10, pause: float = 0.2) -> int:
    """Serve a platform and two runners on this machine.

    :param events: number of events in each stream
    :param pause: seconds between events
    """
    _write_files(DIRECTORY)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(events, pause))
    return 0


sys.exit(defopt.run(main))
