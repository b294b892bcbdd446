"""Case 3: a machine that is stopped takes requests that it then cuts off."""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.client import Client, Outcome
from standins.desk import Desk
from standins.fleet import Machine
from standins.platform import Platform, limits, route, unix_ms, until

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 2
DESKS = 4
CLIENTS = 150
# Clients use a connection again that was idle for up to four fifths of 15 s.
MEAN_PAUSE_SECONDS = 6.0
LONGEST_IDLE_SECONDS = 12.0
# The work of a request, well below the route's timeout.
SHORTEST_WORK_SECONDS = 0.5
LONGEST_WORK_SECONDS = 3.0
TIMEOUT_MS = 4_000
GRACE_SECONDS = 8.0
STOPS = 5
ROUND_SECONDS = 16.0
# The rule excuses what was sent no later than this after SIGTERM.
EXCUSED_SECONDS = 3.0
generator = random.Random(5)


@dataclass
class Stop:
    """A SIGTERM of a machine."""

    machine: str
    at: float


def configuration() -> dict[str, Any]:
    """Return a small configuration with one plain service."""
    return {
        "version": 1,
        "routes": [route("invoice", "unsafe", "desk", TIMEOUT_MS, 1_000)],
        "services": [
            {"name": "desk", "health_path": "/health", "connection_limit": 100}
        ],
        "limits": limits(),
    }


async def keep_asking(
    machines: list[Machine], number: int, outcomes: dict[str, list[Outcome]]
) -> None:
    """Send a request now and then, on a connection that is kept."""
    client: Client | None = None
    machine = machines[0]
    sent = 0
    while True:
        pause = generator.expovariate(1 / MEAN_PAUSE_SECONDS)
        await asyncio.sleep(pause)
        sent += 1
        if client is None or client.writer is None or pause > LONGEST_IDLE_SECONDS:
            # A new connection goes to a machine that is ready.
            if client is not None:
                client.close()
            ready = [item for item in machines if item.ready] or machines
            machine = generator.choice(ready)
            client = Client((machine.ip, machine.front_port), 6.0)
        outcome = await client.ask(
            f"/invoice/{number}",
            f"r-{number}-{sent}",
            body=b"x" * 600,
            deadline_ms=5000,
        )
        outcomes[machine.name].append(outcome)


def lost(
    outcomes: dict[str, list[Outcome]], stops: list[Stop], desks: list[Desk]
) -> list[str]:
    """Return the requests that the rule counts as lost."""
    runs = {name: run for desk in desks for name, run in desk.runs.items()}
    found = []
    for stop in stops:
        for item in outcomes[stop.machine]:
            since = item.sent_at - stop.at
            run = runs.get(item.request)
            if not EXCUSED_SECONDS < since < GRACE_SECONDS + 1:
                continue
            if item.whole or item.left or run is None:
                continue
            took = item.ended_at - item.sent_at
            if took >= TIMEOUT_MS / 1000:
                continue
            end = f"ended {run.ended_at - stop.at:.2f} s" if run.ended_at else "goes on"
            found.append(
                f"{item.request}: sent to {stop.machine} {since:.2f} s after SIGTERM, "
                f"passed on to a replica, whose run {end} after SIGTERM; the "
                f"connection was closed without an answer after {took:.2f} s"
            )
    return found


async def play(folder: Path) -> tuple[int, list[str]]:
    """Run the case, and return its exit code and record."""
    platform = Platform()
    platform.configure(configuration())
    desks = [
        Desk(
            f"i-{number}",
            unix_ms() + number,
            lambda: generator.uniform(SHORTEST_WORK_SECONDS, LONGEST_WORK_SECONDS),
        )
        for number in range(DESKS)
    ]
    for desk in desks:
        await desk.open()
        platform.list_server(desk.name, desk.row)
    machines = [Machine(n, platform.address, folder) for n in range(MACHINES)]
    outcomes: dict[str, list[Outcome]] = {machine.name: [] for machine in machines}
    stops: list[Stop] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        for machine in machines:
            machine.start()
            tasks += [
                asyncio.create_task(machine.keep()),
                asyncio.create_task(machine.probe()),
            ]
        if not await until(lambda: all(item.ready for item in machines), 20):
            return 2, ["the instances did not become ready"]
        await asyncio.sleep(2)
        tasks += [
            asyncio.create_task(keep_asking(machines, number, outcomes))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(8)
        for number in range(STOPS):
            machine = machines[number % MACHINES]
            if not await until(lambda: all(item.ready for item in machines), 10):
                return 2, ["the instances were not ready for the next stop"]
            if TROUBLE:
                stops.append(Stop(machine.name, time.monotonic()))
                machine.signal(signal.SIGTERM)
            # The platform kills what is left after the grace period.
            old = machine.popen
            await asyncio.sleep(GRACE_SECONDS)
            if TROUBLE and machine.popen is old:
                machine.kill()
            await asyncio.sleep(ROUND_SECONDS - GRACE_SECONDS)
    finally:
        for machine in machines:
            machine.kept_up = False
            machine.kill()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    lines = [f"trouble: {TROUBLE}"]
    for machine in machines:
        ends = Counter(
            (item.status or "nothing", "whole" if item.whole else "cut")
            for item in outcomes[machine.name]
        )
        counts = ", ".join(f"{status} {end}: {n}" for (status, end), n in ends.items())
        lines.append(f"{machine.name}: {counts}")
    lines.append(f"replicas ran {sum(len(desk.runs) for desk in desks)} requests")
    lines.append(f"machines were stopped {len(stops)} times")
    found = lost(outcomes, stops, desks)
    if not TROUBLE:
        found = [
            f"{item.request}: closed without an answer"
            for items in outcomes.values()
            for item in items
            if not item.whole and not item.left and item.ended_at
        ]
    lines += [*found, f"LOST {'broken' if found else 'held'}: {len(found)}"]
    return int(bool(found)), lines


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
