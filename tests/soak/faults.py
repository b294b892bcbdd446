"""The faults of a soak run, drawn from its seed."""

from dataclasses import dataclass
from enum import Enum
from random import Random


class FaultKind(Enum):
    """What a fault does."""

    KILL = "kill"
    KILL_ALL = "kill_all"
    TERMINATE = "terminate"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_DOWN = "store_down"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_RESTORED = "store_restored"
    LINK_RESET = "link_reset"
    LINK_SILENT = "link_silent"
    LINK_ONE_WAY = "link_one_way"
    LINK_SLOW = "link_slow"
    SERVER_RESTART = "server_restart"
    SERVER_LEAVES = "server_leaves"
    # Requests run, and their answers break off.
    SERVER_BREAKS = "server_breaks"
    CONFIGURATION = "configuration"
    # Prompts with one part crash each engine that begins an answer to them.
    CRASHING_PART = "crashing_part"
    # An engine names a limit of requests a second.
    ENGINE_LIMITED = "engine_limited"
    # Engines of another software version replace some or all, one after the other.
    RELEASE = "release"
    # Many routes, and a series of changes that each add one.
    CONFIGURATION_STORM = "configuration_storm"
    # Another writer leaves odd rows among those of the servers.
    ODD_ROWS = "odd_rows"
    # Plain servers refuse requests, and write each refusal once more later.
    REPEATED_REFUSALS = "repeated_refusals"
    # All instances are killed while two versions serve, or as the old one leaves.
    KILL_ALL_DURING_RELEASE = "kill_all_during_release"


# How often each kind is drawn, and the longest time that it lasts in seconds.
WEIGHTS = {
    FaultKind.KILL: (4, 3.0),
    FaultKind.KILL_ALL: (1, 1.0),
    FaultKind.TERMINATE: (4, 1.0),
    FaultKind.PAUSE: (4, 6.0),
    FaultKind.RELOAD: (1, 0.0),
    FaultKind.STORE_DOWN: (2, 6.0),
    FaultKind.STORE_LOSES_ANSWERS: (2, 3.0),
    FaultKind.STORE_RESTORED: (1, 3.0),
    FaultKind.LINK_RESET: (3, 0.0),
    FaultKind.LINK_SILENT: (3, 4.0),
    FaultKind.LINK_ONE_WAY: (3, 4.0),
    FaultKind.LINK_SLOW: (2, 4.0),
    FaultKind.SERVER_RESTART: (3, 1.0),
    FaultKind.SERVER_LEAVES: (2, 3.0),
    FaultKind.SERVER_BREAKS: (4, 2.0),
    FaultKind.CONFIGURATION: (2, 0.0),
}
SHORTEST_SECONDS = 0.2


@dataclass(frozen=True)
class Fault:
    """One fault: when it starts, how long it lasts, and which target it has."""

    kind: FaultKind
    at: float
    seconds: float
    # Taken modulo the number of targets of the kind.
    target: int

    def __str__(self) -> str:
        """Return the fault as one line of a report."""
        times = f"{self.at:.2f} s for {self.seconds:.2f} s"
        return f"{self.kind.value} of {self.target} at {times}"


# Faults of what callers send and servers ask for: the chance that a run has one, and
# how long it lasts in seconds.
LOAD_FAULTS = {
    FaultKind.CRASHING_PART: (0.6, 9.0),
    FaultKind.ENGINE_LIMITED: (0.6, 9.0),
}


# Faults with several software versions: the chance that a run has one, and the longest
# time that it lasts in seconds.
RELEASE_FAULTS = {
    FaultKind.RELEASE: (0.6, 4.0),
    FaultKind.KILL_ALL_DURING_RELEASE: (0.6, 1.0),
}


# Faults of what other writers and servers send: the chance that a run has one, and the
# longest time that it lasts in seconds.
SENDER_FAULTS = {
    FaultKind.CONFIGURATION_STORM: (0.6, 4.0),
    FaultKind.ODD_ROWS: (0.6, 4.0),
    FaultKind.REPEATED_REFUSALS: (0.6, 8.0),
}


def draw_sender_faults(generator: Random, *, seconds: float) -> list[Fault]:
    """Return the faults of other senders of a run; they begin in its first half.

    They are drawn apart, so that a seed keeps its other faults.
    """
    return [
        Fault(
            kind,
            generator.uniform(0, seconds / 2),
            generator.uniform(SHORTEST_SECONDS, longest),
            generator.randrange(1000),
        )
        for kind, (chance, longest) in SENDER_FAULTS.items()
        if generator.random() < chance
    ]


def draw_release_faults(generator: Random, *, seconds: float) -> list[Fault]:
    """Return the releases of a run; they begin in its first half.

    They are drawn apart, so that a seed keeps its other faults.
    """
    return [
        Fault(
            kind,
            generator.uniform(0, seconds / 2),
            generator.uniform(SHORTEST_SECONDS, longest),
            generator.randrange(1000),
        )
        for kind, (chance, longest) in RELEASE_FAULTS.items()
        if generator.random() < chance
    ]


def draw_load_faults(generator: Random, *, seconds: float) -> list[Fault]:
    """Return the faults of load of a run; they begin in its first half."""
    return [
        Fault(kind, generator.uniform(0, seconds / 2), lasts, generator.randrange(1000))
        for kind, (chance, lasts) in LOAD_FAULTS.items()
        if generator.random() < chance
    ]


def draw_faults(
    generator: Random, *, seconds: float, mean_gap: float = 0.8
) -> list[Fault]:
    """Return the faults of a run in order; they come in series, and overlap."""
    kinds = list(WEIGHTS)
    shares = [WEIGHTS[kind][0] for kind in kinds]
    faults = []
    at = generator.uniform(0.2, 1.0)
    while at < seconds:
        kind = generator.choices(kinds, shares)[0]
        longest = max(SHORTEST_SECONDS, WEIGHTS[kind][1])
        lasts = generator.uniform(SHORTEST_SECONDS, longest)
        faults.append(Fault(kind, at, lasts, generator.randrange(1000)))
        at += generator.expovariate(1 / mean_gap)
    return faults
