"""Processor time and memory of a daemon process that serves callers."""

import asyncio
import os
from pathlib import Path

from tests.processes.fleet import Fleet, running_fleet

from benchmarks.slopes.fit import Slope, fit_slope
from benchmarks.slopes.state import ADAPTERS
from magnoliatrail.standins.environment import EnvironmentSize

REQUEST_COUNTS = (100, 200, 400)
TOKENS_PER_STREAM = (16, 64, 256)
STREAMS = 24
MAX_CONCURRENT_REQUESTS = 16
ADAPTER_COUNT = 4
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
STAND_IN_SIZE = EnvironmentSize(engines=2, adapters=8)


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_SECOND


def memory_bytes(pid: int, field: str) -> float:
    """Return a memory field of a process, such as VmRSS or VmHWM."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return float(line.split()[1]) * 1024
    raise ValueError(f"no field {field}")


async def send_completions(
    fleet: Fleet, requests: int, *, stream: bool, tokens: int
) -> None:
    """Send completion requests with limited concurrency."""
    request_slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def ask(number: int) -> None:
        model = f"adapter-{number % ADAPTER_COUNT:04d}@1"
        async with request_slots:
            answer = await fleet.complete(
                "one", model, f"prompt {number}", stream=stream, tokens=tokens
            )
        assert answer.code == 200, answer.body  # noqa: PLR2004

    await asyncio.gather(*(ask(number) for number in range(requests)))


class EntryCosts:
    """Processor microseconds of a daemon by requests, and by streamed chunks."""

    def __init__(self) -> None:
        self.whole: dict[int, float] = {}
        self.streamed: dict[int, float] = {}


async def measure() -> EntryCosts:
    """Run a daemon, and read its processor time from /proc."""
    costs = EntryCosts()
    async with running_fleet(["one"], STAND_IN_SIZE) as fleet:
        pid = fleet.processes["one"].popen.pid
        await send_completions(fleet, 32, stream=True, tokens=4)
        for requests in REQUEST_COUNTS:
            before = processor_seconds(pid)
            await send_completions(fleet, requests, stream=False, tokens=1)
            costs.whole[requests] = (processor_seconds(pid) - before) * 1e6
        for tokens in TOKENS_PER_STREAM:
            before = processor_seconds(pid)
            await send_completions(fleet, STREAMS, stream=True, tokens=tokens)
            costs.streamed[tokens * STREAMS] = (processor_seconds(pid) - before) * 1e6
    return costs


async def idle_memory(adapters: int) -> tuple[float, float]:
    """Return the current and the peak resident memory of an idle daemon."""
    size = EnvironmentSize(engines=2, adapters=adapters)
    async with running_fleet(["one"], size) as fleet:
        pid = fleet.processes["one"].popen.pid
        return memory_bytes(pid, "VmRSS"), memory_bytes(pid, "VmHWM")


def memory_slopes() -> list[Slope]:
    """Measure the memory of a daemon by the number of adapters in the catalogue."""
    memory = {size: asyncio.run(idle_memory(size)) for size in ADAPTERS}
    return [
        fit_slope(
            "resident memory of an idle daemon",
            "adapter",
            "B",
            ADAPTERS,
            lambda n: memory[n][0],
        ),
        fit_slope(
            "peak memory of an idle daemon",
            "adapter",
            "B",
            ADAPTERS,
            lambda n: memory[n][1],
        ),
    ]


def entry_slopes() -> list[Slope]:
    """Measure the processor time of requests and streamed chunks at one daemon."""
    costs = asyncio.run(measure())
    return [
        fit_slope(
            "whole answers at the entry",
            "request",
            "us",
            REQUEST_COUNTS,
            lambda n: costs.whole[n],
        ),
        fit_slope(
            "streamed chunks at the entry",
            "chunk",
            "us",
            [tokens * STREAMS for tokens in TOKENS_PER_STREAM],
            lambda n: costs.streamed[n],
        ),
    ]
