from datetime import timedelta

import pytest
from msgspec.structs import replace

from magnoliatrail.clock import ManualClock
from magnoliatrail.generated.membership import (
    LeavingServer,
    MemberRecord,
    MemberState,
    OwnerRow,
)
from magnoliatrail.generated.platform import (
    InstanceList,
    ListedInstance,
    ListedKind,
    ListedState,
)
from magnoliatrail.ids import EngineId, Incarnation, InstanceId
from magnoliatrail.membership.fleet import Fleet
from magnoliatrail.membership.gossip import MAX_RECORDS_PER_MESSAGE, GossipLog
from magnoliatrail.membership.neighbours import MAX_LINKS, neighbours
from magnoliatrail.membership.ownership import OwnershipTable
from magnoliatrail.membership.pause import PauseGate
from magnoliatrail.membership.preference import choose
from magnoliatrail.membership.session import SessionLease, read_session
from magnoliatrail.metrics import RecordedMetrics
from magnoliatrail.standins.table import FakeTable

from .network_harness import Network

ME, PEER = InstanceId("me"), InstanceId("peer")


def record(name, *, version=1, state=MemberState.LIVE, domain="d", region="r"):
    return MemberRecord(
        instance=name,
        incarnation=f"run-of-{name}",
        failure_domain=domain,
        region=region,
        peer_url=f"http://{name}",
        version=version,
        state=state,
    )


def fleet():
    return Fleet(ManualClock(), record(ME))


def engine(state=ListedState.LIVE):
    return ListedInstance(
        id="e", kind=ListedKind.ENGINE, url="http://e", failure_domain="d", state=state
    )


def test_an_older_record_never_replaces_a_newer_one():
    members = fleet().members
    assert members.merge(record(PEER, version=5), PEER)
    assert not members.merge(record(PEER, version=4, state=MemberState.GONE), PEER)
    assert members.get(PEER).version == 5


def test_an_instance_refutes_that_it_is_gone():
    members = fleet().members
    members.publish()
    members.merge(replace(members.own, state=MemberState.GONE), PEER)
    assert members.own.state is MemberState.LIVE
    assert members.own.version == 3


def test_a_run_that_sent_a_departure_notice_is_not_recorded_as_ended():
    members = fleet().members
    members.merge(record(PEER), PEER)
    members.merge(record(PEER, version=2, state=MemberState.LEFT), PEER)
    assert members.ended == {}


def test_a_reader_receives_all_gossip_in_bounded_messages():
    gossip = GossipLog()
    for number in range(MAX_RECORDS_PER_MESSAGE + 10):
        gossip.put(record(f"i{number}"), ME)
    first = gossip.after(0, PEER)
    second = gossip.after(first.through, PEER)
    assert len(first.members) == MAX_RECORDS_PER_MESSAGE
    assert not first.complete
    assert len(second.members) == 10
    assert second.complete


def test_gossip_is_not_sent_back_to_its_source():
    gossip = GossipLog()
    gossip.put(record("x"), PEER)
    assert gossip.after(0, PEER).members == []


@pytest.mark.parametrize("size", [2, 7, 370])
def test_links_are_few_and_connect_the_fleet(size):
    records = [
        record(f"i{n}", domain=f"d{n % 22}", region=f"r{n % 22 % 7}")
        for n in range(size)
    ]
    links = {item.instance: neighbours(item, records) for item in records}
    assert max(len(peers) for peers in links.values()) <= MAX_LINKS
    reached, frontier = {"i0"}, ["i0"]
    while frontier:
        for peer in links[frontier.pop()]:
            if peer not in reached:
                reached.add(peer)
                frontier.append(peer)
    assert len(reached) == size


def test_few_engines_move_when_an_instance_joins():
    before = tuple(InstanceId(f"i{n}") for n in range(16))
    after = (*before, InstanceId("new"))
    engines = [EngineId(f"e{n}") for n in range(1000)]
    moved = [e for e in engines if choose(e, before) != choose(e, after)]
    assert all(choose(e, after) == "new" for e in moved)
    assert len(moved) < 120


def test_a_peer_reports_a_leaving_server():
    view = fleet().servers
    view.apply_list(InstanceList(instances=[engine()]), timedelta())
    assert view.is_live("e")
    assert view.merge_peer_view([LeavingServer(server="e", age_seconds=0)], timedelta())
    assert not view.is_live("e")


def test_an_instance_isolated_from_list_and_peers_sends_no_new_work():
    here = fleet()
    here.members.merge(record(PEER), PEER)
    here.servers.apply_list(InstanceList(instances=[engine()]), timedelta())
    assert here.is_live("e")
    here.clock.advance(timedelta(seconds=3))
    assert not here.is_live("e")
    here.last_contact = here.clock.monotonic()
    assert here.is_live("e")


def test_a_stale_owner_row_is_ignored():
    here = fleet()
    row = OwnerRow(
        engine="e", instance=PEER, incarnation="x", fencing_number=4, write_id="w"
    )
    assert here.apply_owner(row, PEER)
    assert not here.apply_owner(replace(row, fencing_number=3), PEER)
    assert here.owner_of(EngineId("e")) is None


def test_a_claim_whose_answer_was_lost_is_recognised(run):
    async def scenario():
        table = FakeTable()
        ownership = OwnershipTable(table, ME, Incarnation("run"))
        table.faults.lose_answers = 1
        claimed = await ownership.claim(EngineId("e"))
        assert claimed.is_ok()
        assert (await ownership.read(EngineId("e"))).ok == claimed.ok

    run(scenario())


def test_a_claim_with_a_stale_expected_fencing_number_fails(run):
    async def scenario():
        ownership = OwnershipTable(FakeTable(), ME, Incarnation("run"))
        await ownership.claim(EngineId("e"))
        assert (await ownership.claim(EngineId("e"), expected=0)).is_error()
        assert (await ownership.claim(EngineId("e"), expected=1)).is_ok()

    run(scenario())


def test_a_renewal_whose_answer_was_lost_is_recognised(run):
    async def scenario():
        network = Network(["one"], checks_fencing=False)
        table = FakeTable()
        lease = SessionLease(table, network.nodes["one"].coordination.session.row)
        await lease.renew()
        table.faults.lose_answers = 1
        assert (await lease.renew()).is_ok()
        assert (await lease.renew()).is_ok()
        assert (await read_session(table, InstanceId("one"))).ok.renewals == 3

    run(scenario())


def test_a_pause_blocks_work_until_the_refresh(run):
    async def scenario():
        clock, refreshed = ManualClock(), []

        async def refresh():
            refreshed.append(clock.monotonic())

        gate = PauseGate(clock=clock, metrics=RecordedMetrics(), refresh=refresh)
        await gate.wait_until_open()
        assert refreshed == []
        clock.advance(timedelta(seconds=5))
        assert not gate.is_open
        await gate.wait_until_open()
        assert len(refreshed) == 1
        assert gate.is_open

    run(scenario())
