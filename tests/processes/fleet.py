"""Daemons as processes on loopback that use stand-ins in this process."""

import asyncio
import os
import signal
import subprocess
import sys
import threading
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

from expression import Result
from tornado.httpclient import HTTPRequest, HTTPResponse

from magnoliatrail.clock import SystemClock
from magnoliatrail.generated.membership import InstanceStatus
from magnoliatrail.generated.platform import (
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.peers.client import PeerClient
from magnoliatrail.standins.environment import (
    EnvironmentSize,
    StandInEnvironment,
    start_environment,
)
from magnoliatrail.wire import CallLimits, call, encode, new_http_client

TOKEN = "token-for-tests-only"
LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=60))
WAIT_LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.05


@dataclass
class Process:
    """A daemon process and its addresses."""

    name: str
    popen: subprocess.Popen[str]
    caller_url: str
    peer_url: str

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.popen.send_signal(number)


@dataclass
class Fleet:
    """The stand-ins and the daemon processes that use them."""

    environment: StandInEnvironment
    module: str = "magnoliatrail"
    process_environment: Callable[[str], dict[str, str]] = lambda name: {}
    processes: dict[str, Process] = field(default_factory=dict)
    ended: list[Process] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.client = new_http_client()
        self.peers = PeerClient(TOKEN)

    async def start(self, name: str, *flags: str) -> Process:
        """Start a daemon and wait until it logs its addresses."""
        return await asyncio.to_thread(self.start_blocking, name, flags)

    def start_blocking(self, name: str, flags: tuple[str, ...]) -> Process:
        """Start a daemon and read its log up to the line `started`."""
        command = [sys.executable, "-m", self.module, "serve", *self.flags(name)]
        popen = subprocess.Popen(
            [*command, *flags],
            stderr=subprocess.PIPE,
            text=True,
            env={
                **os.environ,
                "PYTHONUNBUFFERED": "1",
                **self.process_environment(name),
            },
        )
        assert popen.stderr is not None
        lines = []
        for line in popen.stderr:
            lines.append(line)
            if "event=started" in line:
                pairs = dict(pair.split("=", 1) for pair in line.split())
                process = Process(name, popen, pairs["callers"], pairs["peers"])
                self.processes[name] = process
                self.environment.instances.put(listed_instance(process))
                threading.Thread(target=popen.stderr.read, daemon=True).start()
                return process
        raise AssertionError(f"{name} exited with code {popen.wait()}: {lines}")

    def flags(self, name: str) -> list[str]:
        """Return the flags of a daemon."""
        settings = {
            "instance-id": name,
            "failure-domain": "domain-0",
            "port": "0",
            "peer-port": "0",
            "peer-token": TOKEN,
            "table-url": self.environment.url("table"),
            "objects-url": self.environment.url("objects"),
            "weights-url": self.environment.url("weights"),
            "instance-list-url": self.environment.url("instance-list"),
        }
        return [f"--{key}={value}" for key, value in settings.items()]

    async def status(self, name: str) -> InstanceStatus | None:
        """Return the status of an instance, None if it does not answer."""
        url = f"{self.processes[name].peer_url}/peer/status"
        match await self.peers.ask(url, {}, InstanceStatus, LIMITS):
            case Result(tag="ok", ok=status):
                return status
            case _:
                return None

    async def until_settled(self) -> None:
        """Wait until all instances list each other and every engine has an owner."""
        names = sorted(self.processes)
        async with asyncio.timeout(WAIT_LIMIT_SECONDS):
            while not await self.settled(names):
                await asyncio.sleep(POLL_SECONDS)

    async def settled(self, names: list[str]) -> bool:
        """Return whether all instances list each other and engines have one owner."""
        statuses = [await self.status(name) for name in names]
        if any(status is None or status.peers != names for status in statuses):
            return False
        owned = [
            engine for status in statuses if status for engine in status.engines_owned
        ]
        return len(owned) == len(set(owned)) == len(self.environment.engines)

    async def complete(
        self, name: str, model: str, prompt: str, *, stream: bool, tokens: int = 8
    ) -> HTTPResponse:
        """Request a completion from an instance."""
        fields = {
            "model": model,
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        }
        url = f"{self.processes[name].caller_url}/v1/completions"
        request = HTTPRequest(url, method="POST", body=encode(fields))
        return await call(self.client, request, LIMITS)

    def kill(self, name: str, *, listed: bool = False) -> None:
        """Kill a daemon; remove it from the instance list unless `listed`."""
        process = self.processes.pop(name)
        process.popen.kill()
        process.popen.wait()
        self.ended.append(process)
        if not listed:
            self.environment.instances.remove(name)

    async def close(self) -> None:
        """Kill all daemon processes and stop the stand-ins."""
        self.peers.close()
        for process in [*self.processes.values(), *self.ended]:
            if process.popen.poll() is None:
                process.popen.kill()
            process.popen.wait()
        await self.environment.close()


def listed_instance(process: Process) -> ListedInstance:
    """Return the instance list entry of a daemon."""
    return ListedInstance(
        id=process.name,
        kind=ListedKind.INSTANCE,
        url=process.peer_url,
        failure_domain="domain-0",
        state=ListedState.LIVE,
    )


@asynccontextmanager
async def running_fleet(
    names: list[str], size: EnvironmentSize | None = None, *, flags: Sequence[str] = ()
) -> AsyncIterator[Fleet]:
    """Run stand-ins and daemons until the block ends."""
    fleet = Fleet(start_environment(SystemClock(), size or EnvironmentSize()))
    try:
        for name in names:
            await fleet.start(name, *flags)
        await fleet.until_settled()
        yield fleet
    finally:
        await fleet.close()
