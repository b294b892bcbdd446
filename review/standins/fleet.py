"""Instances of the project as processes, and the platform that runs them."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# As the deploy file says, with the Python that runs the script.
COMMAND = [sys.executable, "-m", "magnoliatrail", "forward"]
RESTART_DELAY_SECONDS = 0.5
SETTINGS = """
node = "{name}"
role = "instance"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-{zone}"
region = "region"
internal_ports = [{peer_port}, {peer_port}]
seeds = []
bootstrap = {bootstrap}
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
zone-a = "region"
zone-b = "region"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpu_share = 1.07
cores = 1
memory_mb = {memory_mb}
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_ms = 3000
acknowledge_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
propagation_ms = 2000
rollback_slack_ms = 250
outer_bound_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recovery_s = 12
pass_ms = 120
retry_after_s = 0
enforce_fencing = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_overage = 1.1
version_ms = 5000
[platform]
address = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
transaction_ms = 8.0
part_writes_per_s = 150
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
"""  # noqa: E501


def own_address(number: int) -> str:
    """Return a loopback address that no other process of this machine uses."""
    own = os.getpid()
    return f"127.{1 + (own >> 8) % 250}.{own % 256}.{number}"


def free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are free at an address."""
    with ExitStack() as stack:
        found = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in found:
            item.bind((ip, 0))
        return [item.getsockname()[1] for item in found]


@dataclass
class Machine:
    """A machine of the platform, which runs one instance after the other."""

    number: int
    store: str
    directory: Path
    memory_mb: int = 300
    popen: subprocess.Popen[bytes] | None = None
    starts: int = 0
    # When the platform ended processes that had more memory than the machine.
    over_memory: list[float] = field(default_factory=list)
    peak_mb: float = 0.0
    ready: bool = False
    # Whether the platform starts a process that ended again.
    kept_up: bool = True

    def __post_init__(self) -> None:
        """Choose the addresses."""
        self.name = f"front-{self.number}"
        self.ip = own_address(self.number + 1)
        self.front_port, self.ready_port, self.peer_port = free_ports(self.ip, 3)
        self.settings = self.directory / f"{self.name}.toml"
        self.log = self.directory / f"{self.name}.log"

    def start(self) -> None:
        """Write the settings and start a process."""
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone="ab"[self.number % 2],
                peer_port=self.peer_port,
                front_port=self.front_port,
                ready_port=self.ready_port,
                memory_mb=self.memory_mb,
                store=self.store,
                bootstrap="true" if self.starts == 0 else "false",
            )
        )
        self.starts += 1
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                COMMAND,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "MAGNOLIATRAIL_CONFIG": str(self.settings),
                },
            )

    @property
    def is_running(self) -> bool:
        """Return whether a process runs."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()

    def memory(self) -> float:
        """Return the resident megabytes of the process, 0 if none runs."""
        if self.popen is None:
            return 0.0
        try:
            text = Path(f"/proc/{self.popen.pid}/statm").read_text()
        except OSError:
            return 0.0
        pages = int(text.split()[1]) if text else 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def keep(self) -> None:
        """Restart the process after it ended, and end it above the memory limit."""
        while True:
            await asyncio.sleep(0.02)
            if not self.kept_up:
                continue
            if not self.is_running:
                await asyncio.sleep(RESTART_DELAY_SECONDS)
                if self.kept_up:
                    self.start()
                continue
            used = self.memory()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.memory_mb:
                self.over_memory.append(time.monotonic())
                self.kill()

    async def probe(self) -> None:
        """Ask once a second whether the process is ready, as the platform does."""
        while True:
            self.ready = await self.answers_ready()
            await asyncio.sleep(0.25)

    async def answers_ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        try:
            async with asyncio.timeout(0.8):
                reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False
