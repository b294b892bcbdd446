from dataclasses import dataclass, field
from datetime import timedelta

from expression import Ok

from magnoliatrail.clock import ManualClock
from magnoliatrail.entry.batch_slots import EntryBatchSlots
from magnoliatrail.generated.permits import DemandAnswer
from magnoliatrail.ids import AdapterVersion, EngineId, InstanceId
from magnoliatrail.peers.placement_messages import DemandExchange, PeerDirectory
from magnoliatrail.routing.permit_search import RoutingState
from magnoliatrail.wire import CallLimits

LIMITS = CallLimits(timedelta(seconds=1), timedelta(seconds=1))
MODEL = AdapterVersion("adapter", "1")
ENGINE_COUNT = 6
OWNER_COUNT = 3


@dataclass
class Listed:
    id: str


class FleetOfEngines:
    """Stand-in for the view of a fleet whose engines have three owners."""

    def engines(self):
        return [Listed(f"engine-{number}") for number in range(ENGINE_COUNT)]

    def owner_of(self, engine):
        return InstanceId(f"owner-{int(engine[-1]) % OWNER_COUNT}")

    def is_live(self, engine):
        return True


@dataclass
class RecordedPeers:
    """Stand-in for the client of peers that records the reports."""

    reports: list[set[str]] = field(default_factory=list)

    async def ask(self, url, report, answer_type, limits):
        self.reports.append({demand.engine for demand in report.engines})
        return Ok(DemandAnswer(engines=[]))


def new_exchange(peers):
    clock = ManualClock()
    peer_directory = PeerDirectory(
        instance=InstanceId("one"),
        live_instances=lambda: [InstanceId("one")],
        url_of=lambda peer: f"http://{peer}",
        peers=peers,
        limits=LIMITS,
    )
    return DemandExchange(
        peer_directory=peer_directory,
        clock=clock,
        fleet=FleetOfEngines(),
        owners=dict,
        state=RoutingState(),
        batch_slots=EntryBatchSlots(clock=clock, queue_limit=lambda caller: 8),
    )


def test_an_instance_without_requests_reports_nothing(run):
    peers = RecordedPeers()
    run(new_exchange(peers).report_due())
    assert peers.reports == []


def test_an_engine_in_use_is_reported_and_once_more_when_idle(run):
    peers = RecordedPeers()
    exchange = new_exchange(peers)
    exchange.state.directory.record_use(EngineId("engine-0"), MODEL)
    run(exchange.report_due())
    assert {"engine-0"} <= set().union(*peers.reports)
    # One other owner is asked in rotation, to keep the digests of its engines current.
    assert len(peers.reports) == 2
    peers.reports.clear()
    run(exchange.report_due())
    assert peers.reports == [{"engine-0"}]
    peers.reports.clear()
    run(exchange.report_due())
    assert peers.reports == []


def test_every_owner_is_asked_in_rotation_while_there_are_requests(run):
    peers = RecordedPeers()
    exchange = new_exchange(peers)
    for _ in range(OWNER_COUNT):
        exchange.state.directory.record_use(EngineId("engine-0"), MODEL)
        run(exchange.report_due())
    reported = set().union(*peers.reports)
    assert len(reported) == ENGINE_COUNT
