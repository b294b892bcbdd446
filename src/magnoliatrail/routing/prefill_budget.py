"""How many prompts an engine bears, learned from the pauses of its streams."""

from dataclasses import dataclass
from datetime import timedelta

# A pause of this share of the goal or more was nearly too long; one of these shares
# shows that prompts were read in it, and that there was room for more.
DECREASE_PAUSE_FRACTION = 0.95
INCREASE_PAUSE_FRACTIONS = (0.6, 0.88)
# Longer pauses, in goals, come from trouble that fewer prompts do not end.
MAX_PAUSE_GOALS = 2.0
# Steps of the pace, so that about one stream in twenty comes close to its goal.
DECREASE_FACTOR = 0.95
INCREASE_FACTOR = 1.006
MIN_SHARE, MAX_SHARE = 0.7, 1.6
# The streams of one engine see the same pause; it counts once.
SHARED_PAUSE_WINDOW = timedelta(seconds=0.5)


@dataclass(slots=True)
class PrefillBudget:
    """Hold the share of the usual prompts that one engine gets within a pause."""

    share: float = 1.0
    decreased_at: timedelta | None = None

    def record_pause(self, pause: timedelta, goal: timedelta, now: timedelta) -> None:
        """Learn from the longest pause of a stream that ended well."""
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
