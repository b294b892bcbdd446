"""One soak run: a fleet under load, the faults of a seed, and the checks."""

import asyncio
import signal
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from magnoliatrail.listeners import listen
from magnoliatrail.standins.row_store import RowStoreState, row_store_application
from tests.soak import lost_streams
from tests.soak.checks import (
    ORDER_DELAY_SECONDS,
    Interval,
    NamedLimit,
    Observations,
    violations,
)
from tests.soak.configurations import Configurations
from tests.soak.faults import (
    SHORTEST_SECONDS,
    Fault,
    FaultKind,
    draw_faults,
    draw_load_faults,
    draw_release_faults,
    draw_sender_faults,
)
from tests.soak.links import FaultyLink, LinkState
from tests.soak.lost_streams import TakenUp
from tests.soak.processes import Exit, Instance
from tests.soak.releases import DRAIN_SECONDS, Releases
from tests.soak.servers import (
    EVENT_SECONDS,
    ODD_ROWS,
    CheckedEngine,
    Departure,
    Server,
)
from tests.soak.stream_checks import resumed_streams
from tests.soak.traffic import HANG_SECONDS, Caller, Ending, Exchange, RequestKind

HTTP_OK = 200
START_LIMIT_SECONDS = 60.0
SETTLE_LIMIT_SECONDS = 60.0
SLOW_SECONDS = 0.3
CRASHING_REQUEST_INTERVAL_SECONDS = 0.2
LIMIT_PER_SECOND = 3.0
# Between the answers that say that a server leaves and the row that does.
NOTICE_SECONDS = 0.4
# The longest fault of a link.
LONGEST_HOLD_SECONDS = 4.0


@dataclass(frozen=True)
class SoakSettings:
    """Size and length of a run."""

    seed: int
    directory: Path
    instances: int = 3
    engines: int = 3
    plain_servers: int = 2
    callers: int = 12
    fault_seconds: float = 12.0
    mean_gap: float = 0.8
    # Whether all instances are restarted once more after the faults, and streams that
    # began before are taken up.
    take_up: bool = False


@dataclass
class Report:
    """What a run found."""

    seed: int
    faults: list[str]
    violations: list[str]
    requests: int
    served: int
    # Streams that were taken up again, and those of them that were answered.
    resumed: int
    went_on: int
    # Those that were taken up after the faults, None if the run did not do so.
    taken_up: TakenUp | None = None


@dataclass
class Soak:
    """The parts of one run."""

    settings: SoakSettings
    store: RowStoreState = field(default_factory=RowStoreState)
    store_link: FaultyLink = field(default_factory=FaultyLink)
    instances: list[Instance] = field(default_factory=list)
    servers: list[Server] = field(default_factory=list)
    callers: list[Caller] = field(default_factory=list)
    # Intervals by instance or link in which orders may arrive that were held up.
    delays: defaultdict[str, list[Interval]] = field(
        default_factory=lambda: defaultdict(list)
    )
    extra: list[str] = field(default_factory=list)
    limits: list[NamedLimit] = field(default_factory=list)
    # Intervals in which the store or the link to it is disturbed.
    store_disturbed: list[Interval] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Prepare the releases and the configurations."""
        self.configurations = Configurations(self.store)
        self.releases = Releases(self.servers, self.store)

    async def run(self) -> Report:
        """Run the fleet, inject the faults, and check what was seen."""
        settings = self.settings
        generator = Random(settings.seed)
        faults = draw_faults(
            generator, seconds=settings.fault_seconds, mean_gap=settings.mean_gap
        )
        faults += draw_load_faults(
            Random(f"{settings.seed}-load"), seconds=settings.fault_seconds
        )
        faults += draw_sender_faults(
            Random(f"{settings.seed}-sender"), seconds=settings.fault_seconds
        )
        faults += draw_release_faults(
            Random(f"{settings.seed}-release"), seconds=settings.fault_seconds
        )
        listener = listen(row_store_application(self.store), host="127.0.0.1")
        try:
            await self.start(listener.port)
            await self.until_all_serve("the start")
            traffic = [asyncio.create_task(item.run()) for item in self.callers]
            started = time.monotonic()
            await asyncio.gather(*(self.inject(item, started) for item in faults))
            await self.until_all_serve("the faults")
            for caller in self.callers:
                caller.stopped = True
            await asyncio.gather(*traffic)
            after_faults = await self.take_up() if settings.take_up else None
            await asyncio.gather(*(self.terminate(item) for item in self.instances))
        finally:
            for instance in self.instances:
                instance.signal(signal.SIGCONT)
                instance.kill()
            for server in self.releases.all_servers:
                server.close()
            self.store_link.close()
            listener.server.stop()
        seen = self.observations()
        resumed, went_on = resumed_streams(seen.exchanges)
        return Report(
            seed=settings.seed,
            faults=[str(item) for item in faults],
            violations=[*self.extra, *violations(seen)],
            requests=len(seen.exchanges),
            served=sum(item.status == HTTP_OK for item in seen.exchanges),
            resumed=resumed,
            went_on=went_on,
            taken_up=after_faults,
        )

    async def start(self, store_port: int) -> None:
        """Start the backend servers, the instances and the callers."""
        settings = self.settings
        await self.store_link.open(store_port)
        self.configurations.write()
        for number in range(settings.engines):
            self.servers.append(Server(f"engine-{number}", self.store, engine=True))
        for number in range(settings.plain_servers):
            self.servers.append(Server(f"plain-{number}", self.store, engine=False))
        for server in self.servers:
            await server.start()
        self.instances = [
            Instance(number, self.store_link.address, settings.directory)
            for number in range(settings.instances)
        ]
        for instance in self.instances:
            instance.start()
        self.callers = [
            Caller(f"r{number}", self.instances, Random(f"{settings.seed}-{number}"))
            for number in range(settings.callers)
        ]

    async def until_all_serve(self, after: str) -> None:
        """Wait until every instance serves every kind of request again."""
        probe = Caller(f"probe after {after}", self.instances, Random(0))
        probe.name = probe.name.replace(" ", "-")
        until = time.monotonic() + SETTLE_LIMIT_SECONDS
        for instance in self.instances:
            for kind in RequestKind:
                while True:
                    sent = await probe.send(instance, kind)
                    if sent.ending is Ending.WHOLE and sent.status == HTTP_OK:
                        break
                    if time.monotonic() > until:
                        self.extra.append(
                            f"{instance.name} serves no {kind.value} request after "
                            f"{after}: {sent.ending.value} {sent.status} {sent.body!r}"
                        )
                        break
                    await asyncio.sleep(0.1)

    async def inject(self, fault: Fault, started: float) -> None:
        """Inject one fault at its time, and undo it."""
        await asyncio.sleep(max(0.0, started + fault.at - time.monotonic()))
        await self.actions()[fault.kind](fault)

    def actions(self) -> dict[FaultKind, Callable[[Fault], Awaitable[None]]]:
        """Return the function that injects each kind of fault."""
        return {
            FaultKind.KILL: self.kill_one,
            FaultKind.KILL_ALL: self.kill_all,
            FaultKind.TERMINATE: self.terminate_one,
            FaultKind.PAUSE: self.pause,
            FaultKind.RELOAD: self.reload,
            FaultKind.STORE_DOWN: self.store_down,
            FaultKind.STORE_LOSES_ANSWERS: self.store_loses_answers,
            FaultKind.STORE_RESTORED: self.restore_store,
            FaultKind.LINK_RESET: self.reset_link,
            FaultKind.LINK_SILENT: self.silence_link,
            FaultKind.LINK_ONE_WAY: self.hold_answers,
            FaultKind.LINK_SLOW: self.slow_link,
            FaultKind.SERVER_RESTART: self.restart_server,
            FaultKind.SERVER_LEAVES: self.leave,
            FaultKind.SERVER_BREAKS: self.break_answers,
            FaultKind.CONFIGURATION: self.change_configuration,
            FaultKind.CRASHING_PART: self.send_crashing_part,
            FaultKind.ENGINE_LIMITED: self.limit_engine,
            FaultKind.CONFIGURATION_STORM: self.change_often,
            FaultKind.ODD_ROWS: self.write_odd_rows,
            FaultKind.REPEATED_REFUSALS: self.repeat_refusals,
            FaultKind.RELEASE: self.release,
            FaultKind.KILL_ALL_DURING_RELEASE: self.kill_all_during_release,
        }

    def instance(self, fault: Fault) -> Instance:
        """Return the instance that a fault is for."""
        return self.instances[fault.target % len(self.instances)]

    def server(self, fault: Fault) -> Server:
        """Return the backend server that a fault is for."""
        return self.servers[fault.target % len(self.servers)]

    def link(self, fault: Fault) -> FaultyLink:
        """Return the link that a fault is for."""
        links = [self.store_link, *(server.link for server in self.servers)]
        return links[fault.target % len(links)]

    async def kill_one(self, fault: Fault) -> None:
        """Kill an instance, and start it again."""
        await self.kill([self.instance(fault)], fault.seconds)

    async def kill_all(self, fault: Fault) -> None:
        """Kill all instances at once, and start them again."""
        await self.kill(self.instances, fault.seconds)

    async def kill(self, instances: list[Instance], seconds: float) -> None:
        """Kill instances that nothing else restarts, and start them again."""
        taken = [item for item in instances if not item.busy]
        since = time.monotonic()
        for instance in taken:
            instance.busy = True
            instance.kill()
        await asyncio.sleep(seconds)
        for instance in taken:
            instance.start()
            instance.busy = False
        for instance in taken:
            await self.record_disturbed(instance, since)

    async def terminate_one(self, fault: Fault) -> None:
        """End an instance in order, and start it again."""
        instance = self.instance(fault)
        if instance.busy:
            return
        instance.busy = True
        since = time.monotonic()
        await self.terminate(instance)
        await asyncio.sleep(fault.seconds)
        instance.start()
        instance.busy = False
        await self.record_disturbed(instance, since)

    async def terminate(self, instance: Instance) -> None:
        """Send SIGTERM, and record how the process ends."""
        instance.paused = False
        instance.signal(signal.SIGTERM)
        code = await instance.wait(HANG_SECONDS)
        instance.exits.append(
            Exit(instance.name, code, instance.paused, instance.has_started)
        )
        instance.kill()

    async def pause(self, fault: Fault) -> None:
        """Stop a process for a while, also one that is about to end."""
        instance = self.instance(fault)
        process, since = instance.popen, time.monotonic()
        instance.paused = True
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        if instance.popen is process:
            instance.signal(signal.SIGCONT)
        self.record_delay(instance.name)
        await self.record_disturbed(instance, since)

    async def record_disturbed(self, instance: Instance, since: float) -> None:
        """Record that answers of an instance may be missing until it runs again."""
        limit = time.monotonic() + START_LIMIT_SECONDS
        while not instance.has_started and time.monotonic() < limit:
            await asyncio.sleep(0.05)
        instance.disturbed.append((since, time.monotonic()))

    async def reload(self, fault: Fault) -> None:
        """Change a settings file, and tell the process."""
        instance = self.instance(fault)
        instance.slack = 40 + fault.target % 20
        instance.write_settings()
        instance.signal(signal.SIGHUP)

    async def store_down(self, fault: Fault) -> None:
        """Refuse all calls to the store."""
        with self.disturbing_store():
            self.store.down = True
            await asyncio.sleep(fault.seconds)
            self.store.down = False

    async def store_loses_answers(self, fault: Fault) -> None:
        """Commit writes without an answer."""
        with self.disturbing_store():
            self.store.lose_answers = True
            await asyncio.sleep(fault.seconds)
            self.store.lose_answers = False

    async def restore_store(self, fault: Fault) -> None:
        """Let the store come back from a copy of some seconds ago."""
        rows, version = self.store.copy_rows()
        await asyncio.sleep(fault.seconds)
        with self.disturbing_store():
            self.store.restore(rows, version)
            self.configurations.write()
        for server in self.releases.all_servers:
            server.list_as(server.listed)

    @contextmanager
    def disturbing_store(self) -> Iterator[None]:
        """Record that the store is disturbed meanwhile."""
        since = time.monotonic()
        try:
            yield
        finally:
            self.store_disturbed.append((since, time.monotonic()))

    async def reset_link(self, fault: Fault) -> None:
        """Reset all connections to a server or to the store."""
        self.link(fault).reset()

    async def silence_link(self, fault: Fault) -> None:
        """Hold all bytes from and to a server or the store."""
        await self.hold(self.link(fault), LinkState.SILENT, fault.seconds)

    async def hold_answers(self, fault: Fault) -> None:
        """Hold all answers of a server or of the store."""
        await self.hold(self.link(fault), LinkState.ONE_WAY, fault.seconds)

    async def hold(self, link: FaultyLink, state: LinkState, seconds: float) -> None:
        """Set the state of a link for a while."""
        link.state = state
        await asyncio.sleep(seconds)
        link.state = LinkState.PASSING
        self.record_delay(link.address)

    async def slow_link(self, fault: Fault) -> None:
        """Delay all bytes from and to a server or the store."""
        link, since = self.link(fault), time.monotonic()
        link.delay_seconds = SLOW_SECONDS
        await asyncio.sleep(fault.seconds)
        link.delay_seconds = 0.0
        self.record_delay(link.address, since)

    def record_delay(self, name: str, since: float | None = None) -> None:
        """Record that orders may have been held up, by default until now."""
        now = time.monotonic()
        if name == self.store_link.address:
            self.store_disturbed.append((since or now - LONGEST_HOLD_SECONDS, now))
        self.delays[name].append((since or now, now + ORDER_DELAY_SECONDS))

    async def restart_server(self, fault: Fault) -> None:
        """Let a backend server crash, and start again with nothing loaded."""
        server = self.server(fault)
        if server.listener is None or server.listed != "ready":
            return
        server.stop_run()
        await asyncio.sleep(fault.seconds)
        server.start_run()

    async def leave(self, fault: Fault) -> None:
        """Let a backend server leave, and come back as a new run.

        It says so in its answers before its row does, after it, or not at all, and in
        its row in one of several ways.
        """
        server = self.server(fault)
        if server.listener is None or server.listed != "ready":
            return
        if fault.target % 3 == 0:
            server.say_leaving()
            await asyncio.sleep(NOTICE_SECONDS)
        departures = list(Departure)
        await server.write_departure(departures[fault.target % len(departures)])
        if fault.target % 3 == 1:
            await asyncio.sleep(NOTICE_SECONDS)
            server.say_leaving()
        await asyncio.sleep(DRAIN_SECONDS + fault.seconds)
        server.stop_run()
        server.list_as("")
        await asyncio.sleep(fault.seconds)
        server.start_run()

    async def break_answers(self, fault: Fault) -> None:
        """Let the answers of a backend server break off for a while."""
        server = self.server(fault)
        if server.breaks:
            return
        server.break_answers(fault.target)
        await asyncio.sleep(fault.seconds)
        server.mend_answers()

    async def change_configuration(self, fault: Fault) -> None:
        """Write a newer configuration."""
        del fault
        self.configurations.change()

    async def change_often(self, fault: Fault) -> None:
        """Add many routes, and more of them in quick succession."""
        await self.configurations.change_often(
            fault.seconds, self.instances, self.callers
        )

    async def write_odd_rows(self, fault: Fault) -> None:
        """Let another writer leave odd rows, and remove them after a while."""
        for number, value in enumerate(ODD_ROWS):
            self.store.put("servers", f"odd-{number}", value)
        await asyncio.sleep(fault.seconds)
        for number in range(len(ODD_ROWS)):
            self.store.put("servers", f"odd-{number}", None)

    async def repeat_refusals(self, fault: Fault) -> None:
        """Let plain servers refuse requests, and write refusals once more."""
        plain = [server for server in self.servers if not server.is_engine]
        for server in plain:
            server.set_repeating_refusals(True)
        await asyncio.sleep(fault.seconds)
        for server in plain:
            server.set_repeating_refusals(False)

    async def send_crashing_part(self, fault: Fault) -> None:
        """Let engines crash on a part, and send requests with it to all instances."""
        part = f"crashing{fault.target}"
        engines = [server for server in self.servers if server.is_engine]
        for engine in engines:
            engine.set_crashing_part(part)
        caller = Caller(part, self.instances, Random(fault.target), part=part)
        self.callers.append(caller)
        until = time.monotonic() + fault.seconds
        while time.monotonic() < until:
            instance = caller.generator.choice(self.instances)
            await caller.send(instance, RequestKind.STREAM)
            await asyncio.sleep(CRASHING_REQUEST_INTERVAL_SECONDS)
        for engine in self.releases.all_servers:
            engine.set_crashing_part("")

    async def release(self, fault: Fault) -> None:
        """Replace engines by those of another software version."""
        await self.releases.release(fault.target, fault.seconds)

    async def kill_all_during_release(self, fault: Fault) -> None:
        """Kill all instances while two software versions serve, or one leaves."""
        at_once = bool(fault.target % 2)
        async with self.releases.lock:
            share = 1.0 if at_once else 0.5
            old = await self.releases.start_beside(fault.target, share)
            kill = asyncio.create_task(self.kill_all(fault))
            await self.releases.leave_around(old, kill, at_once=at_once)

    async def limit_engine(self, fault: Fault) -> None:
        """Let the current run of an engine name a limit for a while."""
        engines = [server for server in self.servers if server.is_engine]
        server = engines[fault.target % len(engines)]
        state, since = server.runs[-1], time.monotonic()
        assert isinstance(state, CheckedEngine)
        state.request_limit = LIMIT_PER_SECOND
        await asyncio.sleep(fault.seconds)
        state.request_limit = None
        name = f"{server.name} run {state.born}"
        until = time.monotonic()
        self.limits.append(NamedLimit(name, since, until, LIMIT_PER_SECOND))

    async def take_up(self) -> TakenUp:
        """Kill all instances once more, and take up the streams that broke off."""
        callers = [
            Caller(
                f"t{number}", self.instances, Random(f"{self.settings.seed}-t{number}")
            )
            for number in range(lost_streams.STREAMS)
        ]
        self.callers.extend(callers)

        async def restart() -> None:
            await self.kill(self.instances, SHORTEST_SECONDS)
            self.releases.set_pace(self.servers, EVENT_SECONDS)
            await self.until_all_serve("a kill of all instances")

        self.releases.set_pace(self.servers, lost_streams.EVENT_SECONDS)
        tries = await lost_streams.take_up_after_restart(callers, restart)
        found = lost_streams.taken_up(tries, self.servers)
        self.extra.extend(found.violations())
        return found

    def observations(self) -> Observations:
        """Return what callers, servers and logs saw."""
        exchanges: list[Exchange] = []
        for caller in self.callers:
            exchanges.extend(caller.exchanges)
        seen = Observations(
            exchanges=exchanges,
            ran=Counter(),
            delays=self.delays,
            limits=self.limits,
            route_probes=self.configurations.probes,
            store_disturbed=self.store_disturbed,
            crashing_parts={caller.part for caller in self.callers if caller.part},
        )
        for server in self.releases.all_servers:
            seen.unlisted_at |= server.unlisted_at
            seen.said_at |= server.said_at
            for state in server.runs:
                seen.ran.update(state.ran)
                name = f"{server.name} run {state.born}"
                seen.arrivals[name] = state.arrivals
                self.delays[name] = self.delays[server.link.address]
                if isinstance(state, CheckedEngine):
                    seen.orders[name] = state.orders_seen
                    if state.crashed_by_part_at is not None:
                        seen.part_crashes.append(state.crashed_by_part_at)
                    if state.crashed:
                        seen.crashed.append(server.name)
        seen.disturbed = {item.name: item.disturbed for item in self.instances}
        for instance in self.instances:
            seen.exits.extend(instance.exits)
            with suppress(FileNotFoundError):
                seen.log_lines.extend(instance.log.read_text().splitlines())
        return seen


async def run_soak(settings: SoakSettings) -> Report:
    """Run one seed; logs and settings files stay in the directory."""
    settings.directory.mkdir(parents=True, exist_ok=True)
    return await Soak(settings).run()
