"""Prefill and decode speed of engines, estimated from the streams that they served."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

# Number of samples after which an old one has lost most of its weight.
SAMPLE_MEMORY = 120
# Weight of a sample above the line. Whatever else an engine or a link does only adds to
# the time that a prompt takes, so the line follows the faster samples.
SLOW_SAMPLE_WEIGHT = 0.25
# A sample counts at most this many times, and at least this part, of its prediction.
MAX_SAMPLE_RATIO, MIN_SAMPLE_RATIO = 3.0, 0.3
# Samples assumed before any was taken, as (tokens, ms) and (running requests, ms).
# They describe a slow engine, so that a new fleet starts with few prompts at once.
PRIOR_FIRST_EVENTS = ((300.0, 45.0), (1500.0, 105.0), (3000.0, 180.0))
PRIOR_STEPS = ((1.0, 9.0), (30.0, 10.5), (60.0, 12.0))
# Delay of a first event beside its prefill, assumed where only the speed is known, and
# how many samples of each size such knowledge counts for.
PRIOR_OVERHEAD_MS = 15.0
KNOWN_SPEED_SAMPLES = 10
# Fewer samples don't show the speed of a service.
MIN_SAMPLES = 20
# Limits on the estimates, far outside of what engines reach.
MIN_PREFILL_MS_PER_TOKEN, MAX_PREFILL_MS_PER_TOKEN = 0.002, 2.0
MIN_STEP_MS = 0.5
# Shorter prompts tell little about prefill, as other delays outweigh it.
MIN_SAMPLE_TOKENS = 200
# Weight of one stream in an engine's slowness, and its limits.
SLOWNESS_SAMPLE_WEIGHT = 0.2
MIN_SLOWNESS, MAX_SLOWNESS = 0.5, 10.0
# Samples of an engine that is slower than this are scaled down to the usual speed.
OUTLIER_SLOWNESS = 2.0
# An engine without new samples is considered as fast as the others again after a while.
SLOWNESS_HALF_LIFE = timedelta(seconds=8)


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """The speed of an engine."""

    prefill_ms_per_token: float
    # Duration of a decode step, and what each running request adds to it.
    step_ms: float
    step_ms_per_request: float

    def prefill_time(self, tokens: float) -> timedelta:
        """Return the prefill time of a number of prompt tokens."""
        return timedelta(milliseconds=tokens * self.prefill_ms_per_token)

    def step_time(self, running: int) -> timedelta:
        """Return the duration of a decode step of a batch without prefill."""
        step = self.step_ms + self.step_ms_per_request * running
        return timedelta(milliseconds=max(MIN_STEP_MS, step))


class LinearEstimate:
    """A line through samples, by least squares; older samples lose weight."""

    def __init__(self, prior: Iterable[tuple[float, float]]) -> None:
        self.weight = self.x = self.y = self.xx = self.xy = 0.0
        for x, y in prior:
            self.add_sample(x, y)

    def add(self, x: float, y: float) -> None:
        """Add a sample; one far from the line counts as less far."""
        expected = self.at(x)
        clipped = min(expected * MAX_SAMPLE_RATIO, max(expected * MIN_SAMPLE_RATIO, y))
        self.add_sample(x, clipped, SLOW_SAMPLE_WEIGHT if y > expected else 1.0)

    def add_sample(self, x: float, y: float, weight: float = 1.0) -> None:
        """Add a sample as it is."""
        keep = 1 - weight / SAMPLE_MEMORY
        self.weight = self.weight * keep + weight
        self.x = self.x * keep + weight * x
        self.y = self.y * keep + weight * y
        self.xx = self.xx * keep + weight * x * x
        self.xy = self.xy * keep + weight * x * y

    @property
    def slope(self) -> float:
        """Return the slope of the line, 0 if all samples have one position."""
        spread = self.weight * self.xx - self.x * self.x
        if spread <= 0:
            return 0.0
        return (self.weight * self.xy - self.x * self.y) / spread

    def at(self, x: float) -> float:
        """Return the value of the line at a position."""
        return (self.y + self.slope * (self.weight * x - self.x)) / self.weight


class ServiceSpeed:
    """The speed that the engines of one service have in common."""

    def __init__(self, known: EngineSpeed | None = None) -> None:
        self.known = known
        self.samples = 0
        if known is None:
            self.first_events = LinearEstimate(PRIOR_FIRST_EVENTS)
            self.steps = LinearEstimate(PRIOR_STEPS)
            return
        self.first_events = LinearEstimate(
            [
                (tokens, PRIOR_OVERHEAD_MS + tokens * known.prefill_ms_per_token)
                for tokens, _ in PRIOR_FIRST_EVENTS * KNOWN_SPEED_SAMPLES
            ]
        )
        self.steps = LinearEstimate(
            [
                (running, known.step_ms + running * known.step_ms_per_request)
                for running, _ in PRIOR_STEPS * KNOWN_SPEED_SAMPLES
            ]
        )

    @property
    def measured(self) -> EngineSpeed | None:
        """Return the usual speed, or what was known of it while few streams ended."""
        return self.speed(1.0) if self.samples >= MIN_SAMPLES else self.known

    def speed(self, slowness: float) -> EngineSpeed:
        """Return the speed of an engine that is slower than usual by a factor."""
        prefill = min(
            MAX_PREFILL_MS_PER_TOKEN,
            max(MIN_PREFILL_MS_PER_TOKEN, self.first_events.slope),
        )
        slope = max(0.0, self.steps.slope)
        step = max(MIN_STEP_MS, self.steps.at(0.0))
        return EngineSpeed(prefill * slowness, step * slowness, slope * slowness)


class Slowness:
    """How much slower than usual an engine is, as a factor."""

    def __init__(self) -> None:
        self.logarithm = 0.0
        self.at = timedelta()

    def value(self, now: timedelta) -> float:
        """Return the factor, which approaches 1 while no streams end."""
        decay: float = 0.5 ** ((now - self.at) / SLOWNESS_HALF_LIFE)
        return math.exp(self.logarithm * decay)

    def record(self, ratio: float, now: timedelta) -> None:
        """Record by which factor a stream took longer than usual."""
        limited = math.log(min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio)))
        before = math.log(self.value(now))
        self.logarithm = before + SLOWNESS_SAMPLE_WEIGHT * (limited - before)
        self.at = now


class EngineSpeedEstimate:
    """Estimate one engine's speed, from its own streams and those of its service."""

    def __init__(self, service: ServiceSpeed) -> None:
        self.service = service
        self.slowness = Slowness()

    def speed(self, now: timedelta) -> EngineSpeed:
        """Return the current estimate."""
        return self.service.speed(self.outlier_factor(now))

    def record_first_event(
        self, tokens: int, first_event: timedelta, now: timedelta
    ) -> None:
        """Record the time to the first event of a prompt that was prefilled alone."""
        if tokens < MIN_SAMPLE_TOKENS or not first_event:
            return
        observed = first_event / timedelta(milliseconds=1)
        line = self.service.first_events
        usual = max(1.0, line.at(tokens))
        self.service.samples += 1
        line.add(tokens, observed / self.outlier_factor(now))
        self.slowness.record(observed / usual, now)

    def record_steps(
        self, running: int, pause: timedelta, event_tokens: int, now: timedelta
    ) -> None:
        """Record the usual pause between the events of a stream."""
        if not pause:
            return
        step = pause / timedelta(milliseconds=1) / max(1, event_tokens)
        self.service.steps.add(running, step / self.outlier_factor(now))

    def outlier_factor(self, now: timedelta) -> float:
        """Return the slowness of an engine that is far slower than others, else 1.

        Smaller differences between engines belong to the speed of the service.
        """
        slowness = self.slowness.value(now)
        return slowness if slowness > OUTLIER_SLOWNESS else 1.0
