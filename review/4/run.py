"""Case 4: streams of a split route that are taken up again are mostly refused."""
# ruff: noqa: PLR2004

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.client import Client, Outcome
from standins.engine import MODEL, Engine
from standins.fleet import Machine
from standins.http import Message, head_of
from standins.platform import Platform, limits, route, unix_ms, until

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 3
# The services among which the operator has split the route, and their replicas.
SERVICES = int(os.environ.get("SPLIT", "3"))
REPLICAS = 2
STREAMS_PER_SECOND = 20.0
EVENTS = 40
EVENT_SECONDS = 0.1
# One machine of three is killed at these times after the start of traffic.
KILLS = (10.0, 28.0, 46.0)
SECONDS = 64.0
# As the pages say: the longest of 2 s, four times the goal and eight times the pause.
PATIENCE_SECONDS = 3.2
ENOUGH_STREAMS = 12
generator = random.Random(3)


class VersionedEngine(Engine):
    """A replica whose streams can be taken up again at an event."""

    service = "models"
    version = "v1"

    @property
    def row(self) -> dict[str, Any]:
        """Return the replica's row in the store."""
        return {**super().row, "service": self.service, "version": self.version}

    async def write_answer(
        self, request: Message, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        """Write the events that the client does not have."""
        name = request.get("Magnoliatrail-Request-Id")
        fields["Magnoliatrail-Response-Signature"] = f"{self.name}.{name}"
        fields["Magnoliatrail-Weight-Versions"] = "1"
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        await asyncio.sleep(self.prefill_seconds)
        writer.write(head_of("HTTP/1.1 200 OK", fields))
        first = int(request.get("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


@dataclass
class Tallies:
    """What became of new streams, and of those that were taken up again."""

    new: list[Outcome] = field(default_factory=list)
    taken_up: list[Outcome] = field(default_factory=list)


def engine_of() -> dict[str, Any]:
    """Return the engine settings of a service."""
    model = {
        "name": MODEL,
        "weights_mb": 65_100,
        "load_time_s": 1.9,
        "adapters": 3000,
        "adapter_mb": 12,
    }
    return {
        "slots": 64,
        "kv_cache_tokens": 129_004,
        "adapter_slots": 16,
        "weights_mb": 67_000,
        "loads_per_s": 3,
        "stride": 4,
        "models": [model],
    }


def configuration() -> dict[str, Any]:
    """Return a configuration with a resumable route that is split among services."""
    names = [f"models-{number}" for number in range(SERVICES)]
    stream = route("draft", "streaming", "", 20_000, 800, gap_target_ms=300)
    stream["resumable"] = True
    stream["attempts"] = 2
    stream["split"] = [{"service": name, "weight": 1.0} for name in names]
    return {
        "version": 1,
        "routes": [stream],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "connection_limit": 360,
                "engine": engine_of(),
            }
            for name in names
        ],
        "limits": limits(),
    }


def last_event_of(body: bytes) -> int:
    """Return the number of the last whole event that a client has."""
    events = body.split(b"\n\n")[:-1]
    return int(events[-1].split(b"\n")[0].removeprefix(b"id: ")) if events else 0


async def ask_for(machines: list[Machine], name: str, tallies: Tallies) -> None:
    """Ask for one stream, and take it up once at another machine if it breaks off."""
    fields = {"Magnoliatrail-Model": MODEL, "Magnoliatrail-Token-Counts": "300,160"}
    machine = generator.choice([item for item in machines if item.ready] or machines)
    client = Client((machine.ip, machine.front_port), PATIENCE_SECONDS)
    first = await client.ask(f"/draft/{name}", name, body=b"x" * 600, fields=fields)
    client.close()
    tallies.new.append(first)
    last = last_event_of(first.body)
    if first.whole or not last:
        return
    # Retries reach other machines.
    others = [item for item in machines if item is not machine and item.ready]
    machine = generator.choice(others)
    client = Client((machine.ip, machine.front_port), PATIENCE_SECONDS)
    fields |= {"Last-Event-Id": str(last), "Resumes": name}
    again = await client.ask(
        f"/draft/{name}", f"{name}-again", body=b"x" * 600, fields=fields
    )
    client.close()
    tallies.taken_up.append(again)


def verdict(tallies: Tallies) -> tuple[bool, list[str]]:
    """Return whether the rule was broken, and the figures."""
    began = sum(bool(item.body) for item in tallies.new)
    went_on = sum(item.whole and item.status == 200 for item in tallies.taken_up)
    share_new = began / max(1, len(tallies.new))
    share = went_on / max(1, len(tallies.taken_up))
    ends = Counter(
        (item.status or "nothing", "whole" if item.whole else "cut")
        for item in tallies.taken_up
    )
    lines = [
        f"new streams: {len(tallies.new)}, of which {began} began ({share_new:.2f})",
        f"taken up again: {len(tallies.taken_up)}, of which {went_on} went on "
        f"({share:.2f})",
        *(f"taken up, {status} {end}: {n}" for (status, end), n in ends.items()),
    ]
    enough = len(tallies.taken_up) >= ENOUGH_STREAMS
    return enough and share < share_new / 2, lines


async def start_replicas(platform: Platform) -> None:
    """Start the replicas of all services, and write their rows."""
    for number in range(SERVICES):
        for replica in range(REPLICAS):
            engine = VersionedEngine(f"i-{number}-{replica}", unix_ms() + replica)
            engine.service, engine.version = f"models-{number}", f"v{number + 1}"
            await engine.open()
            platform.list_server(engine.name, engine.row)


async def play(folder: Path) -> tuple[int, list[str]]:
    """Run the case, and return its exit code and record."""
    platform = Platform()
    platform.configure(configuration())
    await start_replicas(platform)
    machines = [Machine(n, platform.address, folder) for n in range(MACHINES)]
    tallies = Tallies()
    keepers: list[asyncio.Task[None]] = []
    calls: set[asyncio.Task[None]] = set()
    try:
        for machine in machines:
            machine.start()
            keepers += [
                asyncio.create_task(machine.keep()),
                asyncio.create_task(machine.probe()),
            ]
        if not await until(lambda: all(item.ready for item in machines), 20):
            return 2, ["the instances did not become ready"]
        await asyncio.sleep(4)
        began, number, kills = time.monotonic(), 0, list(KILLS)
        while (now := time.monotonic() - began) < SECONDS:
            if kills and now >= kills[0]:
                machine = machines[len(kills) % MACHINES]
                kills.pop(0)
                if TROUBLE:
                    machine.signal(signal.SIGKILL)
            calls.add(asyncio.create_task(ask_for(machines, f"s-{number}", tallies)))
            calls = {item for item in calls if not item.done()}
            number += 1
            await asyncio.sleep(generator.expovariate(STREAMS_PER_SECOND))
        await asyncio.wait(calls, timeout=8)
    finally:
        for machine in machines:
            machine.kept_up = False
            machine.kill()
        for task in [*keepers, *calls]:
            task.cancel()
        await asyncio.gather(*keepers, *calls, return_exceptions=True)
    broken, lines = verdict(tallies)
    lines.insert(0, f"trouble: {TROUBLE}, machines killed: {len(KILLS) * TROUBLE}")
    lines.append(f"LOST {'broken' if broken else 'held'}")
    return int(broken), lines


def main() -> int:
    """Run the case and write its record."""
    # Connections that are still open when the event loop ends are of no interest.
    sys.unraisablehook = lambda _: None
    with tempfile.TemporaryDirectory() as folder:
        code, lines = asyncio.run(play(Path(folder)))
    (HERE / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join(lines))
    return code


if __name__ == "__main__":
    sys.exit(main())
