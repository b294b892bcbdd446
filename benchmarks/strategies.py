"""The strategies that are compared: the baselines, and the product's own."""

import math
import random
from datetime import timedelta
from functools import partial

from benchmarks.simulation import Job, SimEngine, Simulation, Strategy
from benchmarks.sites import Site
from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.ids import AdapterVersion, Handle
from magnoliatrail.placement.eviction import EvictionCandidate, eviction_order
from magnoliatrail.placement.load_queue import (
    ClassWeights,
    LoadQueue,
    PendingLoad,
    urgency,
)
from magnoliatrail.placement.popularity import Popularity, PopularitySettings
from magnoliatrail.rendezvous import ranked
from magnoliatrail.routing.admission import LoadForecast, shed
from magnoliatrail.routing.candidates import CandidateIndex
from magnoliatrail.routing.engine_choice import (
    AdapterDemand,
    EngineView,
    Residency,
    choose_engine,
)

CANDIDATES_PER_ADAPTER = 12
SERVICE_TIME = timedelta(seconds=0.3)


def oldest_first(load: PendingLoad, now: timedelta) -> float:
    """Rank loads by the age of their oldest waiter, the oldest first."""
    first = min(waiter.since for waiter in load.waiters.values())
    return -first.total_seconds()


def least_recently_used(sim: Simulation, engine: SimEngine) -> AdapterVersion | None:
    """Return the idle adapter that was used least recently."""
    idle = [
        slot
        for slot in engine.slots.values()
        if not (slot.users or slot.waiting or slot.loading)
    ]
    if not idle:
        return None
    return min(idle, key=lambda slot: slot.last_used).model


def ignore_use(sim: Simulation, model: AdapterVersion) -> None:
    """Record nothing: the baselines do not track popularity."""


def random_lru(site: Site, seed: int) -> Strategy:
    """Return the baseline that sends each request to a random engine."""
    generator = random.Random(seed)

    def choose(sim: Simulation, job: Job) -> SimEngine:
        return generator.choice(list(sim.engines.values()))

    return Strategy(
        "random+lru",
        choose,
        least_recently_used,
        lambda: LoadQueue(oldest_first),
        ignore_use,
        share_batch_slots=False,
        load_rate_limited=False,
    )


def rendezvous_lru(
    site: Site, seed: int, *, load_rate_limited: bool = False
) -> Strategy:
    """Return the baseline that hashes each adapter to one engine (rendezvous)."""
    names = [f"engine-{n}" for n in range(site.engines)]
    homes: dict[AdapterVersion, str] = {}

    def choose(sim: Simulation, job: Job) -> SimEngine:
        model = job.arrival.model
        home = homes.get(model)
        if home is None:
            home = homes[model] = ranked(str(model), names)[0]
        return sim.engines[home]

    return Strategy(
        "rendezvous+lru+pace" if load_rate_limited else "rendezvous+lru",
        choose,
        least_recently_used,
        lambda: LoadQueue(oldest_first),
        ignore_use,
        share_batch_slots=False,
        load_rate_limited=load_rate_limited,
    )


def listed_engines(site: Site) -> list[ListedInstance]:
    """Return the engines of a site as the instance list shows them."""
    return [
        ListedInstance(
            id=f"engine-{n}",
            kind=ListedKind.ENGINE,
            name="base",
            url="",
            failure_domain=f"domain-{n % site.failure_domains}",
            state=ListedState.LIVE,
        )
        for n in range(site.engines)
    ]


class Product:
    """Adapt the product's decision functions to the simulation."""

    def __init__(self, site: Site, popularity: PopularitySettings) -> None:
        self.site = site
        self.popularity = Popularity(popularity)
        self.index = CandidateIndex(listed_engines(site))
        self.forecast = LoadForecast(site.store.loads_per_second, site.store.load_time)

    def record_use(self, sim: Simulation, model: AdapterVersion) -> None:
        """Record a use of an adapter."""
        self.popularity.record(model, sim.now())

    def victims(self, sim: Simulation, engine: SimEngine) -> list[Handle]:
        """Return the adapters that an engine may evict, the least valuable first."""
        now = sim.now()
        candidates = [
            EvictionCandidate(
                handle=Handle(str(slot.model)),
                in_use=slot.users > 0 or slot.loading,
                awaited=bool(slot.waiting),
                last_used=timedelta(seconds=slot.last_used),
                value=self.popularity.value(slot.model, now),
                loaded_at=timedelta(seconds=slot.loaded_at),
            )
            for slot in engine.slots.values()
        ]
        return eviction_order(candidates, now)

    def victim(self, sim: Simulation, engine: SimEngine) -> AdapterVersion | None:
        """Return the adapter that an engine evicts next."""
        order = self.victims(sim, engine)
        if not order:
            return None
        name, _, version = order[0].partition("@")
        return AdapterVersion(name, version)

    def view(self, sim: Simulation, engine: SimEngine, job: Job) -> EngineView:
        """Return the view of an engine that the routing decision takes."""
        model = job.arrival.model
        slot = engine.slots.get(model)
        residency = Residency.ABSENT
        pending = [key for key in sim.load_queue.pending if key.engine == engine.id]
        if slot and not slot.loading:
            residency = Residency.LOADED
        elif slot or any(key.model == model for key in pending):
            residency = Residency.LOADING
        free = engine.slot_limit - len(engine.slots) - len(pending)
        slot_value = math.inf
        if residency is Residency.ABSENT and free <= 0:
            order = self.victims(sim, engine)
            if len(order) > -free:
                name, _, version = order[-free].partition("@")
                slot_value = self.popularity.value(
                    AdapterVersion(name, version), sim.now()
                )
        return EngineView(
            engine=engine.id,
            residency=residency,
            batch_slots=engine.limits.batch_slots,
            in_flight=len(engine.running),
            waiting=engine.queued,
            free_slots=max(0, free),
            slot_value=slot_value,
        )

    def choose(self, sim: Simulation, job: Job) -> SimEngine:
        """Choose an engine for a request."""
        model = job.arrival.model
        names = self.index.candidates(str(model), CANDIDATES_PER_ADAPTER)
        views = [
            self.view(sim, sim.engines[name], job)
            for name in names
            if name != job.excluded
        ]
        demand = AdapterDemand(
            rate=self.popularity.value(model, sim.now()),
            service_time=SERVICE_TIME,
            load_wait=self.forecast.wait(len(sim.load_queue.pending)),
        )
        choice = choose_engine(views, demand, self.site.weights)
        return sim.engines[choice.engine]

    def sweep(self, sim: Simulation) -> None:
        """Refuse requests whose adapter cannot be loaded before their deadline."""
        for refusal in shed(sim.load_queue, sim.now(), self.forecast):
            sim.refuse(refusal.key, refusal.waiter.request_id)


def product(site: Site, seed: int) -> Strategy:
    """Return the product's own strategy."""
    policy = Product(site, PopularitySettings())
    weights = ClassWeights(interactive=1.0, batch=0.1)
    return Strategy(
        "magnoliatrail",
        policy.choose,
        policy.victim,
        lambda: LoadQueue(urgency(weights)),
        policy.record_use,
        policy.sweep,
    )


STRATEGIES = {
    "random+lru": random_lru,
    "rendezvous+lru": rendezvous_lru,
    "rendezvous+lru+pace": partial(rendezvous_lru, load_rate_limited=True),
    "magnoliatrail": product,
}
