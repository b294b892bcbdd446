"""Instances as processes on loopback, each with a settings file and a log."""

import asyncio
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

SETTINGS = """
node = "{name}"
zone = "zone-{zone}"
ip = "{ip}"
internal_ports = [{peer_port}, {peer_port}]
heartbeat_ms = 1000
bootstrap = {first_start}
[listen]
front = "{ip}:{callers_port}"
ready = "{ip}:{ready_port}"
[bounds]
drain_ms = 2000
propagation_ms = 2000
grace_s = 8
lease_ms = 3000
version_ms = 5000
budget_ratio = 0.2
budget_slack = {slack}
budget_window_s = 10
[platform]
address = "{store}"
{more}
"""
STARTED_MARK = b"event=started "
address_numbers = itertools.count()


def own_address() -> str:
    """Return a loopback address that no other instance uses.

    All instances serve their metrics at the same port.
    """
    own = os.getpid()
    number = 1 + next(address_numbers) % 250
    return f"127.{1 + (own >> 8) % 250}.{own % 256}.{number}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are free at an address.

    All are bound at once: the kernel may give a port again that was closed.
    """
    with ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in found:
            item.bind((ip, 0))
        return [item.getsockname()[1] for item in found]


@dataclass
class Exit:
    """How a process ended after SIGTERM."""

    instance: str
    code: int | None
    paused: bool = False
    # Whether the process had opened its listeners.
    started: bool = True


@dataclass
class Instance:
    """An instance, whose processes follow each other."""

    number: int
    store: str
    directory: Path
    slack: int = 54
    popen: subprocess.Popen[bytes] | None = None
    # Intervals in which answers of this instance may be missing or late.
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    exits: list[Exit] = field(default_factory=list)
    paused: bool = False
    busy: bool = False
    starts: int = 0
    # Where the log of the newest process begins.
    log_offset: int = 0
    # The folder of the package that the next process runs; None for this one.
    source: Path | None = None
    # Further tables of the settings file.
    more: str = ""

    def __post_init__(self) -> None:
        """Choose the addresses."""
        self.name = f"instance-{self.number}"
        self.ip = own_address()
        # Nobody else listens at this address, so the ports stay free for the restarts.
        self.callers_port, self.ready_port, self.peer_port = free_ports(self.ip, 3)
        self.path = self.directory / f"{self.name}.toml"
        self.log = self.directory / f"{self.name}.log"

    def write_settings(self) -> None:
        """Write the settings file as the platform does."""
        text = SETTINGS.format(
            name=self.name,
            zone="ab"[self.number % 2],
            ip=self.ip,
            peer_port=self.peer_port,
            callers_port=self.callers_port,
            ready_port=self.ready_port,
            slack=self.slack,
            store=self.store,
            more=self.more,
            first_start="true" if self.starts == 0 else "false",
        )
        self.path.write_text(text)

    def start(self) -> None:
        """Start a process."""
        self.write_settings()
        self.starts += 1
        command = [sys.executable, "-m", "magnoliatrail", "forward"]
        with self.log.open("ab") as log:
            self.log_offset = log.tell()
            search_path = {"PYTHONPATH": str(self.source)} if self.source else {}
            self.popen = subprocess.Popen(
                [*command, "--settings", str(self.path)],
                stdout=log,
                stderr=log,
                env={**os.environ, **search_path},
            )

    @property
    def has_started(self) -> bool:
        """Return whether the newest process has opened its listeners."""
        return STARTED_MARK in self.log.read_bytes()[self.log_offset :]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Return the exit code, None if the process runs on."""
        assert self.popen is not None
        until = time.monotonic() + seconds
        while self.popen.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.popen.poll()

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()
