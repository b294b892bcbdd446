"""How many prompts an engine bears, learned from the pauses of its streams."""

from dataclasses import dataclass
from datetime import timedelta

# A pause of this share of the goal or more was nearly too long; one of these shares
# shows that prompts were read in it, and that there was room for more.
TOO_LONG = 0.95
ROOM = (0.6, 0.88)
# Longer pauses, in goals, come from trouble that fewer prompts do not end.
TROUBLE = 2.0
# Steps of the pace, so that about one stream in twenty comes close to its goal.
SLOWER = 0.95
FASTER = 1.006
SLOWEST, FASTEST = 0.7, 1.6
# The streams of one engine see the same pause; it counts once.
ONE_PAUSE = timedelta(seconds=0.5)


@dataclass(slots=True)
class PromptPace:
    """Hold the share of the usual prompts that one engine gets within a pause."""

    share: float = 1.0
    slowed_at: timedelta | None = None

    def note(self, pause: timedelta, goal: timedelta, now: timedelta) -> None:
        """Learn from the longest pause of a stream that ended well."""
        if not goal or pause > goal * TROUBLE:
            return
        if pause >= goal * TOO_LONG:
            if self.slowed_at is None or now - self.slowed_at > ONE_PAUSE:
                self.slowed_at = now
                self.share = max(SLOWEST, self.share * SLOWER)
        elif goal * ROOM[0] < pause < goal * ROOM[1]:
            self.share = min(FASTEST, self.share * FASTER)
