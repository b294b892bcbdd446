"""Prefill budget of an engine, adapted to the pauses of its streams."""

from dataclasses import dataclass
from datetime import timedelta

# A pause of at least this fraction of the goal is nearly too long.
DECREASE_PAUSE_FRACTION = 0.95
# A pause between these fractions of the goal includes prefill and allows for more.
INCREASE_PAUSE_FRACTIONS = (0.6, 0.88)
# Longer pauses, as multiples of the goal, have causes that less prefill doesn't fix.
MAX_PAUSE_GOALS = 2.0
# Adjustments of the share, so that about 1 stream in 20 comes close to its goal.
DECREASE_FACTOR = 0.95
INCREASE_FACTOR = 1.006
MIN_SHARE, MAX_SHARE = 0.7, 1.6
# All streams of an engine see the same pause; it counts once within this window.
SHARED_PAUSE_WINDOW = timedelta(seconds=0.5)


@dataclass(slots=True)
class PrefillBudget:
    """The share of the usual prompt tokens that an engine gets within a pause."""

    share: float = 1.0
    decreased_at: timedelta | None = None

    def record_pause(self, pause: timedelta, goal: timedelta, now: timedelta) -> None:
        """Adjust the share to the longest pause of a stream that ended well."""
        if not goal or pause > goal * MAX_PAUSE_GOALS:
            return
        if pause >= goal * DECREASE_PAUSE_FRACTION:
            if (
                self.decreased_at is None
                or now - self.decreased_at > SHARED_PAUSE_WINDOW
            ):
                self.decreased_at = now
                self.share = max(MIN_SHARE, self.share * DECREASE_FACTOR)
        elif (
            goal * INCREASE_PAUSE_FRACTIONS[0]
            < pause
            < goal * INCREASE_PAUSE_FRACTIONS[1]
        ):
            self.share = min(MAX_SHARE, self.share * INCREASE_FACTOR)
