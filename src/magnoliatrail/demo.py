"""The demo: send requests to an instance backed by stand-ins and check the answers."""

import asyncio
import hashlib
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import accumulate

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from magnoliatrail.clock import SystemClock
from magnoliatrail.config.store import ConfigurationStore
from magnoliatrail.daemon import Daemon
from magnoliatrail.generated.configuration import (
    Change,
    ChangeKind,
    ConfigurationEdit,
    ConfigurationException,
    ScopeKind,
)
from magnoliatrail.generated.engine import Completion
from magnoliatrail.generated.settings import Settings
from magnoliatrail.ids import new_write_id
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.standins.environment import (
    EnvironmentSize,
    StandInEnvironment,
    start_environment,
)
from magnoliatrail.wire import CallFailed, CallLimits, call, encode, new_http_client

COMPLETION_COUNT = 300
BOOKING_COUNT = 30
REPEATS_PER_BOOKING = 3
MAX_CONCURRENT_REQUESTS = 24
TOKENS_PER_COMPLETION = 12
ZIPF_EXPONENT = 1.1
SEED = 20
LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=120))
BOOKING_PATH = "/services/bookings/confirm"
HTTP_OK = 200


@dataclass
class DemoResult:
    """Outcomes of the demo's requests, and measurements of one run."""

    answered: int = 0
    wrong: int = 0
    lost: int = 0
    repeated: int = 0
    repeats_refused: int = 0
    loads: int = 0
    stalls: list[timedelta] = field(default_factory=list)
    batch_fill: list[float] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Return whether no request was lost, answered wrongly or executed twice."""
        return not (self.wrong or self.lost or self.repeated)

    @property
    def summary_line(self) -> str:
        """Return the last line of the demo."""
        return (
            f"demo: {self.answered} answered, {self.wrong} wrong, "
            f"{self.lost} lost, {self.repeated} repeated"
        )


def expected_text(model: str, prompt: str, tokens: int) -> str:
    """Return the text that the stand-in engine generates."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return "".join(f" {model}:{digest}:{position}" for position in range(tokens))


def streamed_text(body: bytes) -> str | None:
    """Return the text of a complete stream, None if it was truncated."""
    events = body.decode().split("\n\n")
    if "data: [DONE]" not in events:
        return None
    texts = []
    for event in events:
        data = event.partition("data: ")[2]
        if data and data != "[DONE]":
            message = msgspec.json.decode(data, type=Completion)
            texts.append(message.choices[0].text)
    return "".join(texts)


def unstreamed_text(body: bytes) -> str:
    """Return the text of an answer that was not streamed."""
    return msgspec.json.decode(body, type=Completion).choices[0].text


class DemoCaller:
    """Send the demo's requests and check the answers."""

    def __init__(
        self, url: str, client: AsyncHTTPClient, on_request_done: Callable[[], None]
    ) -> None:
        self.url = url
        self.client = client
        self.on_request_done = on_request_done
        self.result = DemoResult()

    async def complete(self, model: str, number: int) -> None:
        """Request a completion, streamed for even numbers, and check its text."""
        prompt = f"brief {number}"
        stream = number % 2 == 0
        fields = {
            "model": model,
            "prompt": prompt,
            "max_tokens": TOKENS_PER_COMPLETION,
            "stream": stream,
        }
        request = HTTPRequest(
            f"{self.url}/v1/completions", method="POST", body=encode(fields)
        )
        body = await self.send(request)
        if body is None:
            return
        text = streamed_text(body) if stream else unstreamed_text(body)
        if text == expected_text(model, prompt, TOKENS_PER_COMPLETION):
            self.result.answered += 1
        else:
            self.result.wrong += 1

    async def book(self, number: int) -> None:
        """Confirm a booking several times with one idempotency key."""
        answers = []
        for _ in range(REPEATS_PER_BOOKING):
            request = HTTPRequest(
                self.url + BOOKING_PATH,
                method="POST",
                headers={"Idempotency-Key": f"booking-{number}"},
                body=encode({"booking": number}),
            )
            answers.append(await self.send(request))
        self.result.repeats_refused += REPEATS_PER_BOOKING - 1
        if None in answers:
            return
        if len(set(answers)) == 1:
            self.result.answered += len(answers)
        else:
            self.result.wrong += 1

    async def send(self, request: HTTPRequest) -> bytes | None:
        """Send a request; count it as lost unless it is answered with 200."""
        try:
            response = await call(self.client, request, LIMITS)
        except CallFailed:
            response = None
        self.on_request_done()
        if response is None or response.code != HTTP_OK:
            self.result.lost += 1
            return None
        return response.body


def demo_settings(environment: StandInEnvironment) -> Settings:
    """Return the settings of the demo's instance."""
    return Settings(
        instance_id="demo",
        failure_domain="domain-0",
        peer_token="demo-token-of-16-letters",
        table_url=environment.url("table"),
        objects_url=environment.url("objects"),
        weights_url=environment.url("weights"),
        instance_list_url=environment.url("instance-list"),
        port=0,
        peer_port=0,
    )


async def mark_bookings_non_idempotent(environment: StandInEnvironment) -> None:
    """Add a configuration exception: calls of `bookings` are not idempotent."""
    exception = ConfigurationException(
        id="bookings-once",
        scope=ScopeKind.SERVICE,
        name="bookings",
        setting="idempotent",
        value="false",
        reason="a confirmation that runs twice books twice",
        author="demo",
        time=SystemClock().now().isoformat(),
    )
    edit = ConfigurationEdit(
        edit_id=new_write_id(),
        author="demo",
        time=exception.time,
        change=Change(kind=ChangeKind.ADD_EXCEPTION, exception=exception),
    )
    result = await ConfigurationStore(environment.table, SystemClock()).edit(edit)
    assert result.is_ok(), result


async def run_demo(on_request_done: Callable[[], None]) -> DemoResult:
    """Run the demo and return its result."""
    environment = start_environment(SystemClock(), EnvironmentSize())
    await mark_bookings_non_idempotent(environment)
    metrics = RecordedMetrics()
    daemon = Daemon(demo_settings(environment), metrics=metrics)
    await daemon.start()
    assert daemon.caller_listener is not None
    caller = DemoCaller(daemon.caller_listener.url, new_http_client(), on_request_done)
    await send_all(caller, [entry.adapter for entry in environment.weights.adapters])
    await daemon.shutdown()
    result = caller.result
    result.loads = sum(engine.loads for engine in environment.engines)
    result.stalls = sorted(metrics.timings.get("load_stall", []))
    # Idle engines are left out: they do not show how well batches are used.
    fills = metrics.gauges.get("batch_fill", [])
    result.batch_fill = [fill for fill in fills if fill]
    executions: Counter[str] = Counter()
    for service in environment.services:
        executions.update(service.executions)
    result.repeated = sum(count - 1 for count in executions.values())
    await environment.close()
    return result


async def send_all(caller: DemoCaller, adapters: list[str]) -> None:
    """Send all requests with bounded concurrency."""
    generator = random.Random(SEED)
    weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(len(adapters))]
    names = generator.choices(
        adapters, cum_weights=list(accumulate(weights)), k=COMPLETION_COUNT
    )
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def complete(adapter: str, number: int) -> None:
        async with semaphore:
            await caller.complete(f"{adapter}@1", number)

    async def book(number: int) -> None:
        async with semaphore:
            await caller.book(number)

    async with asyncio.TaskGroup() as group:
        for number, adapter in enumerate(names):
            group.create_task(complete(adapter, number))
        for number in range(BOOKING_COUNT):
            group.create_task(book(number))
