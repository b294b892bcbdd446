"""Processor time and memory of a daemon that answers callers, as a process."""

import asyncio
import os
from pathlib import Path

from tests.processes.fleet import Fleet, running_fleet

from benchmarks.slopes.fit import Slope, fitted
from benchmarks.slopes.state import ADAPTERS
from magnoliatrail.standins.environment import EnvironmentSize

REQUESTS = (100, 200, 400)
TOKENS = (16, 64, 256)
STREAMS = 24
CONCURRENCY = 16
MODELS = 4
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
SIZE = EnvironmentSize(engines=2, adapters=8)


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_SECOND


def memory_bytes(pid: int, field: str) -> float:
    """Return a field of a process's memory, such as VmRSS or VmHWM."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return float(line.split()[1]) * 1024
    raise ValueError(f"no field {field}")


async def ask_all(fleet: Fleet, requests: int, *, stream: bool, tokens: int) -> None:
    """Ask for completions, a fixed number at a time."""
    places = asyncio.Semaphore(CONCURRENCY)

    async def ask(number: int) -> None:
        model = f"adapter-{number % MODELS:04d}@1"
        async with places:
            answer = await fleet.complete(
                "one", model, f"prompt {number}", stream=stream, tokens=tokens
            )
        assert answer.code == 200, answer.body  # noqa: PLR2004

    await asyncio.gather(*(ask(number) for number in range(requests)))


class EntryCosts:
    """Hold what one daemon spent at each size."""

    def __init__(self) -> None:
        self.whole: dict[int, float] = {}
        self.streamed: dict[int, float] = {}


async def measure() -> EntryCosts:
    """Run a daemon and measure it from outside."""
    costs = EntryCosts()
    async with running_fleet(["one"], SIZE) as fleet:
        pid = fleet.processes["one"].popen.pid
        await ask_all(fleet, 32, stream=True, tokens=4)
        for requests in REQUESTS:
            before = processor_seconds(pid)
            await ask_all(fleet, requests, stream=False, tokens=1)
            costs.whole[requests] = (processor_seconds(pid) - before) * 1e6
        for tokens in TOKENS:
            before = processor_seconds(pid)
            await ask_all(fleet, STREAMS, stream=True, tokens=tokens)
            costs.streamed[tokens * STREAMS] = (processor_seconds(pid) - before) * 1e6
    return costs


async def memory_with(adapters: int) -> tuple[float, float]:
    """Return the resident memory of an idle daemon, and the most that it had."""
    size = EnvironmentSize(engines=2, adapters=adapters)
    async with running_fleet(["one"], size) as fleet:
        pid = fleet.processes["one"].popen.pid
        return memory_bytes(pid, "VmRSS"), memory_bytes(pid, "VmHWM")


def memory_slopes() -> list[Slope]:
    """Measure the memory of a whole daemon by the adapters in the catalogue."""
    memory = {size: asyncio.run(memory_with(size)) for size in ADAPTERS}
    return [
        fitted(
            "resident memory of an idle daemon",
            "adapter",
            "B",
            ADAPTERS,
            lambda n: memory[n][0],
        ),
        fitted(
            "peak memory of an idle daemon",
            "adapter",
            "B",
            ADAPTERS,
            lambda n: memory[n][1],
        ),
    ]


def entry_slopes() -> list[Slope]:
    """Measure requests and streamed chunks at one daemon."""
    costs = asyncio.run(measure())
    return [
        fitted(
            "whole answers at the entry",
            "request",
            "us",
            REQUESTS,
            lambda n: costs.whole[n],
        ),
        fitted(
            "streamed chunks at the entry",
            "chunk",
            "us",
            [tokens * STREAMS for tokens in TOKENS],
            lambda n: costs.streamed[n],
        ),
    ]
