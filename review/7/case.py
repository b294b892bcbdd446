"""A repeated request that crashes the replicas that begin to run it."""

import asyncio
import os
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig2"))

from rig import (  # noqa: E402
    Case,
    Client,
    Engine,
    Head,
    Replica,
    configuration,
    engine_service,
    new_id,
    play,
    route,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 3
REPLICAS = 2
# A crashed replica is back after some seconds.
DOWN_SECONDS = 3.0
# The list of replicas lags behind what they do.
LIST_LAG_SECONDS = 0.8
# The caller sends its request again, as a new request, at any machine.
REPEAT_SECONDS = 1.2
SOUND_REQUESTS_PER_SECOND = 16
CALLERS = 8
STABILITY_SECONDS = 3.0
MAX_LATE_RETRIES = 3
# The rule counts from the third crash.
COUNTED_CRASH = 3
OK = 200
SECONDS = 36.0
BODY = b"crashes the replicas that run it"


async def case(parts: Case) -> int:
    """Play the case; return 1 if the rule was broken, else 0."""
    record, now = parts.record, parts.record.now
    routes = [
        route("confirm", "/confirm/", "unsafe", "desk"),
        route("read", "/read/", "safe", "desk", attempts=2),
        route("brief", "/brief/", "streaming", "models", timeout_ms=12000),
    ]
    desk = {"name": "desk", "health_path": "/health", "connection_limit": 100}
    parts.store.put("op", "config", configuration(routes, [engine_service(), desk]))
    crashes: list[float] = []
    replicas = [Replica(parts, f"i-{number}", "desk") for number in range(REPLICAS)]

    def crash_on_the_request(replica: Replica) -> None:
        def on_run(head: Head, body: bytes) -> bool:
            del head
            if body != BODY or not TROUBLE:
                return True
            crashes.append(now())
            parts.begin(replica.crash(DOWN_SECONDS))
            return False

        replica.on_run = on_run

    for replica in replicas:
        crash_on_the_request(replica)
        await replica.start()
        replica.lag = LIST_LAG_SECONDS
    for number in range(2):
        await Engine(parts, f"e-{number}").start()
    await parts.start(INSTANCES)
    await asyncio.sleep(3)

    answers: dict[int, int] = {}

    async def send(client: Client, path: str, body: bytes) -> str:
        """Send one request, and record its answer."""
        request = new_id()
        record.note("sent", request=request, to=client.instance.name, path=path)
        fields = {
            "Magnoliatrail-Request-Id": request,
            "Magnoliatrail-Deadline-Milliseconds": "1500",
        }
        answer = await client.send("POST", path, fields, body, timeout=5)
        record.note("answered", request=request, status=answer.status)
        if body != BODY:
            answers[answer.status] = answers.get(answer.status, 0) + 1
        return request

    async def send_sound_requests(path: str) -> None:
        clients = [Client(instance) for instance in parts.instances]
        while True:
            await asyncio.sleep(random.expovariate(SOUND_REQUESTS_PER_SECOND / CALLERS))
            await send(random.choice(clients), path, f"sound {new_id()}".encode())

    for number in range(CALLERS):
        parts.begin(send_sound_requests("/confirm/x" if number % 2 else "/read/x"))
    await asyncio.sleep(2)
    began, repeated = now(), set()

    async def repeat() -> None:
        client = Client(random.choice(parts.instances))
        repeated.add(await send(client, "/confirm/p", BODY))
        client.close()

    while now() - began < SECONDS:
        parts.begin(repeat())
        await asyncio.sleep(REPEAT_SECONDS)
    await asyncio.sleep(2)

    return judge(parts, replicas, crashes, repeated, answers)


def judge(
    parts: Case,
    replicas: list[Replica],
    crashes: list[float],
    repeated: set[str],
    answers: dict[int, int],
) -> int:
    """Return 1 if more repeats than allowed reached replicas, else 0."""
    third = (*sorted(crashes), *[float("inf")] * COUNTED_CRASH)[COUNTED_CRASH - 1]
    arrived = [
        (at, replica.id, request)
        for replica in replicas
        for at, request in replica.arrived
        if request in repeated
    ]
    late = sorted(item for item in arrived if item[0] > third + STABILITY_SECONDS)
    for at, name, request in late:
        parts.record.note("late", request=request, replica=name, at=f"{at:.3f}")
    print(
        f"{len(repeated)} repeats, {len(crashes)} crashes, the third at {third:.2f} s; "
        f"{len(late)} repeats reached replicas over {STABILITY_SECONDS:.0f} s later, "
        f"{MAX_LATE_RETRIES} allowed; sound requests by status: {answers}"
    )
    if not answers.get(OK):
        return 2
    return int(len(late) > MAX_LATE_RETRIES)


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
