"""What reads and updates prove of the list of servers, and what they don't."""

from datetime import timedelta

import pytest
from expression import Ok

from magnoliatrail.clock import ManualClock
from magnoliatrail.connections import ConnectionPool
from magnoliatrail.generated.cells import RowUpdate, TableUpdate
from magnoliatrail.membership.fleet_view import FleetView
from magnoliatrail.membership.store_reader import StoreReader
from magnoliatrail.membership.table_bounds import TableBounds
from magnoliatrail.membership.table_view import MAX_GAPS
from magnoliatrail.platform.protocol import OPERATOR_TABLE, SERVERS_TABLE
from magnoliatrail.platform.rows import RowsRead, RowStore, WireRows
from magnoliatrail.wire import CallLimits
from tests.platform.test_departures import Peer, two_peers
from tests.platform.test_views import server_row

SECOND = timedelta(seconds=1)
BOUND = timedelta(seconds=2)
BOUNDS = TableBounds(
    read_above=BOUND * 0.85,
    max_ages={OPERATOR_TABLE: BOUND, SERVERS_TABLE: BOUND},
    extension=timedelta(seconds=5),
)
RUN = ("s1", 1)


def takes_for_fresh(peer):
    """Return whether an instance takes what it was just told for complete."""
    return peer.table.age(peer.clock.monotonic()) < SECOND


# Guards against requests to a server that had left (DRAIN): the next reader of the
# store started after the row was removed, so its updates did not say so.
def test_a_removal_that_the_sender_has_not_seen_is_read_from_the_store():
    clock, store, _, other = two_peers()
    store.put("s1")
    started = Peer(clock)
    started.read(store)
    clock.advance(SECOND)
    other.ask(started)
    assert not takes_for_fresh(other)
    other.read(store)
    assert takes_for_fresh(other)
    assert RUN not in other.usable()


# Guards against the same where the reader read the table whole, as the store had
# forgotten its history in which a server came and went.
def test_a_removal_in_a_gap_of_the_senders_reads_is_read_from_the_store():
    clock, store, reader, other = two_peers()
    store.put("s2", state="ready", born=7)
    other.read(store)
    assert ("s2", 7) in other.usable()
    store.put("s2")
    reader.read(store, whole=True)
    clock.advance(SECOND)
    other.ask(reader)
    assert not takes_for_fresh(other)
    other.read(store)
    assert takes_for_fresh(other)
    assert other.usable() == {RUN}


# Guards against a read of the store by each instance after each whole read of one.
def test_a_whole_read_has_all_removals_for_a_peer_that_is_behind_it():
    clock, store, reader, other = two_peers()
    clock.advance(SECOND)
    store.put("s1")
    reader.read(store, whole=True)
    other.ask(reader)
    assert takes_for_fresh(other)
    assert not other.usable()


def test_many_gaps_are_taken_for_fewer_longer_ones():
    view = FleetView(ManualClock())
    table = view.tables[SERVERS_TABLE]
    for version in range(10, 10 * 2 * MAX_GAPS, 10):
        view.apply(SERVERS_TABLE, RowsRead((), version, whole=True), SECOND, "store")
    assert len(table.gaps) == MAX_GAPS
    # Between two whole reads, the changes are not known.
    assert table.complete_after(table.version - 5) == table.version
    assert table.complete_after(table.version) == table.version
    assert table.complete_after(15) > 20


def test_the_first_update_of_an_instance_is_the_whole_table():
    clock, store, reader, _ = two_peers()
    clock.advance(SECOND)
    started = Peer(clock)
    started.ask(reader)
    assert started.usable() == {RUN}
    assert started.table.fresh_at == reader.table.fresh_at


def update_of_an_earlier_release(store, *, without=()):
    """Return an update that may leave out rows, and says nothing of what it proves."""
    rows = [
        RowUpdate(
            key=row.key, version=row.version, value=row.value.decode(), removed=False
        )
        for row in store.rows.values()
        if row.value is not None and row.key not in without
    ]
    return TableUpdate(table=SERVERS_TABLE, version=store.version, age_ms=0, rows=rows)


# Guards against requests to a server that had left (DRAIN) in an upgrade: the reader of
# the store is of a release that leaves out rows that say what it had heard before.
def test_an_update_of_an_earlier_release_does_not_make_the_list_fresh():
    clock, store, _, other = two_peers()
    store.put("s1", state="draining", born=1)
    clock.advance(SECOND)
    update = update_of_an_earlier_release(store, without=["s1"])
    other.receiver.apply([update], clock.monotonic(), "earlier release")
    assert not takes_for_fresh(other)
    other.read(store)
    assert takes_for_fresh(other)
    assert RUN not in other.usable()


def test_rows_in_an_update_of_an_earlier_release_are_applied():
    clock, store, _, other = two_peers()
    store.put("s2", state="ready", born=1)
    update = update_of_an_earlier_release(store)
    other.receiver.apply([update], clock.monotonic(), "earlier release")
    assert other.usable() == {RUN, ("s2", 1)}


# Guards against requests to a server that had left (DRAIN): only the newest of several
# rows in one read counted.
@pytest.mark.parametrize(
    "later",
    [{"state": "ready", "born": 1}, {"state": "ready"}, {"state": "?", "born": 1}],
    ids=["late heartbeat", "without start", "unreadable"],
)
def test_a_departure_counts_though_a_later_row_comes_in_the_same_read(later):
    _, store, reader, _ = two_peers()
    store.put("s1", state="draining", born=1)
    store.put("s1", **later)
    reader.read(store)
    assert RUN not in reader.usable()


# Guards against the same where the newer row had come before, from an instance that
# may leave out rows.
def test_a_departure_counts_though_a_later_row_was_known_before():
    clock, store, _, other = two_peers()
    store.put("s1", state="draining", born=1)
    store.put("s1", state="ready", born=1)
    update = update_of_an_earlier_release(store)
    other.receiver.apply([update], clock.monotonic(), "earlier release")
    other.read(store)
    assert RUN not in other.usable()


# Guards against requests to a server that had left (DRAIN): an instance that had seen
# it leave passed on the newest row alone, which said something else.
@pytest.mark.parametrize("reads", [1, 2])
@pytest.mark.parametrize("later", [{"state": "ready", "born": 1}, {"state": "?"}])
def test_a_departure_is_passed_on_though_a_later_row_says_something_else(later, reads):
    _, store, reader, other = two_peers()
    store.put("s1", state="draining", born=1)
    if reads > 1:
        reader.read(store)
    store.put("s1", **later)
    reader.read(store)
    other.ask(reader)
    assert takes_for_fresh(other)
    assert RUN not in other.usable()


# Guards against the same for an instance that reads the store and has missed what
# another one saw: it had started since, or has read the table whole.
def test_a_departure_is_passed_on_to_the_reader_of_the_store():
    clock, store, reader, other = two_peers()
    store.put("s1", state="draining", born=1)
    other.read(store)
    store.put("s1", state="ready", born=1)
    other.read(store)
    started = Peer(clock)
    for peer in (reader, started):
        peer.read(store, whole=True)
        other.report_to(peer)
        assert RUN not in peer.usable()


# Guards against requests to a server that was gone (DRAIN): a store that came back from
# a copy lists it, and an instance that had started since did not know better.
def test_a_departure_before_the_store_was_restored_is_passed_on():
    clock, store, reader, _ = two_peers()
    copied = dict(store.rows), store.version
    store.put("s1")
    reader.read(store)
    store.restore(*copied)
    reader.read(store, whole=True)
    assert RUN not in reader.usable()
    started = Peer(clock)
    started.ask(reader)
    assert RUN not in started.usable()
    store.put("s1", state="ready", born=1, sequence=3)
    reader.read(store)
    started.ask(reader)
    assert reader.usable() == started.usable() == {RUN}


# Guards against requests to a server that had left (DRAIN): a row of an earlier run of
# it, late or from a copy, listed it as ready at the same address.
@pytest.mark.parametrize("late", ["ready", "draining"])
def test_a_row_of_an_earlier_run_says_nothing_of_the_later_one(late):
    _, store, reader, other = two_peers()
    store.put("s1", state="ready", born=5)
    reader.read(store)
    store.put("s1", state=late, born=1)
    reader.read(store)
    other.ask(reader)
    # A sound server goes on being used.
    assert reader.usable() == {("s1", 5)}
    store.put("s1", state="draining", born=5)
    reader.read(store)
    other.ask(reader)
    store.put("s1", state="ready", born=1)
    reader.read(store)
    other.ask(reader)
    assert not reader.usable()
    assert not other.usable()


# Guards against the same where both rows come in one read.
def test_a_later_run_counts_though_a_row_of_the_earlier_one_replaces_its_row():
    _, store, reader, _ = two_peers()
    store.put("s1", state="ready", born=5)
    store.put("s1", state="ready", born=1)
    reader.read(store)
    assert reader.usable() == {("s1", 5)}


# Guards against an earlier run that peers use on, as they get the newest row alone.
@pytest.mark.parametrize("newest", [{"state": "ready", "born": 1}, {"state": "?"}])
def test_that_an_earlier_run_has_ended_is_passed_on(newest):
    _, store, reader, other = two_peers()
    store.put("s1", state="ready", born=5)
    store.put("s1", **newest)
    reader.read(store)
    other.ask(reader)
    assert reader.usable() == {("s1", 5)}
    assert not other.usable()


# Guards against the same after a removal, which alone a later row takes back.
def test_that_an_earlier_run_has_ended_is_passed_on_after_its_removal():
    _, store, reader, other = two_peers()
    store.put("s1")
    store.put("s1", state="ready", born=2)
    store.put("s1", state="ready", born=1)
    reader.read(store)
    other.ask(reader)
    assert reader.usable() == {("s1", 2)}
    assert not other.usable()


# Guards against a sound server that an instance doesn't use, as it read the store when
# an odd row had replaced the one of that server, and the next one changed nothing.
def test_a_server_whose_row_is_readable_again_is_passed_on():
    clock, store, reader, _ = two_peers()
    started = Peer(clock)
    store.put("s2", state="ready", born=1)
    store.put("s2", state="?")
    started.read(store)
    store.put("s2", state="ready", born=1)
    reader.read(store)
    started.ask(reader)
    assert started.usable() == {RUN, ("s2", 1)}


# Guards against a removed server that is used on, as an odd row came after the removal.
def test_a_removal_before_an_odd_row_that_was_known_is_not_missed():
    clock, store, _, other = two_peers()
    store.put("s1")
    store.put("s1", state="?")
    update = update_of_an_earlier_release(store)
    other.receiver.apply([update], clock.monotonic(), "earlier release")
    other.read(store)
    assert not other.usable()


ODD_FIELDS = {
    "no slots": {"slots": 0},
    "slots missing": {"slots": None},
    "negative remaining time": {"remaining_ms": -1},
    "remaining time as a text": {"remaining_ms": "soon"},
    "no models": {"models": None},
    "no zone": {"zone": None},
    "no address": {"address": None},
    "a fraction in the sequence": {"sequence": 1.5},
    "no start": {"born": None},
    "start as a text": {"born": "1"},
}


# Guards against requests to a server that had said that it leaves (DRAIN), in a row
# that was refused for one other field.
@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS.keys())
def test_a_row_that_says_that_a_server_leaves_counts_whatever_else_it_says(fields):
    _, store, reader, other = two_peers()
    store.put("s1", **{"state": "draining", "born": 1, **fields})
    reader.read(store)
    other.ask(reader)
    assert RUN not in reader.usable()
    assert RUN not in other.usable()


# Guards against a departure that peers miss, as an odd row replaces the one they lack.
def test_a_departure_is_passed_on_though_an_odd_row_says_it_again():
    _, store, reader, other = two_peers()
    store.put("s1", state="draining", born=1)
    reader.read(store)
    store.put("s1", state="draining", born=1, slots=0)
    reader.read(store)
    other.ask(reader)
    assert RUN not in other.usable()


# Guards against a departure that a server keeps for its next run.
def test_an_odd_row_of_a_later_run_ends_the_known_one():
    _, store, reader, other = two_peers()
    store.put("s1", state="draining", born=4, slots=0)
    reader.read(store)
    other.ask(reader)
    assert not reader.usable()
    assert not other.usable()
    store.put("s1", state="ready", born=5)
    reader.read(store)
    other.ask(reader)
    assert reader.usable() == other.usable() == {("s1", 5)}


def test_an_odd_row_that_names_no_departure_costs_no_server():
    _, store, reader, other = two_peers()
    for fields in ({"state": "leaving"}, {"state": ["draining"]}, {"slots": 0}):
        store.put("s1", **{"state": "ready", "born": 1, **fields})
        reader.read(store)
        other.ask(reader)
        assert reader.usable() == other.usable() == {RUN}


def turned_away_once(*, outage):
    """Return peers of which one had a failed read, and the other reads on.

    In an outage, the other one can't read either, until the row is removed.
    """
    clock, store, reader, other = two_peers()
    clock.advance(SECOND * 0.1)
    other.table.failed_at = clock.monotonic()
    if not outage:
        for _ in range(2):
            clock.advance(SECOND * 0.6)
            reader.read(store)
        clock.advance(SECOND * 0.6)
    else:
        reader.table.failed_at = clock.monotonic()
        clock.advance(SECOND * 1.8)
    store.put("s1")
    reader.read(store)
    other.ask(reader)
    return clock, reader, other


# Guards against requests to a server that was gone (DRAIN): one instance took a single
# failed read for an outage of the store, which another one had read all the time.
def test_a_removal_is_final_if_another_instance_could_read_the_store():
    _, reader, other = turned_away_once(outage=False)
    assert not reader.usable()
    assert not other.usable()


# Guards against the same where the instance read the store itself before it heard.
def test_a_lapse_ends_as_another_instance_shows_that_there_was_no_outage():
    clock, store, reader, other = two_peers()
    other.table.failed_at = clock.monotonic()
    for _ in range(4):
        clock.advance(SECOND * 0.6)
        reader.read(store)
    store.put("s1")
    other.read(store)
    assert other.usable() == {RUN}
    reader.read(store)
    other.ask(reader)
    assert not other.usable()


# Guards against a grace that is longer at instances that learn later of the removal.
def test_the_grace_after_an_outage_counts_from_the_return_of_the_store():
    clock, reader, other = turned_away_once(outage=True)
    third = Peer(clock)
    third.apply(reader.first_read, timedelta())
    third.table.failed_at = reader.table.failed_at
    assert reader.usable() == other.usable() == third.usable() == {RUN}
    clock.advance(SECOND * 1.5)
    third.ask(reader)
    assert reader.usable() == other.usable() == third.usable() == {RUN}
    clock.advance(SECOND * 0.6)
    assert not (reader.usable() | other.usable() | third.usable())


class Reader:
    """An instance whose reads of the store are scripted."""

    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(SECOND * 10)
        pool = ConnectionPool(self.clock.monotonic)
        self.store = RowStore(pool, "127.0.0.1:1", CallLimits(SECOND, SECOND))
        self.view = FleetView(self.clock)
        self.reader = StoreReader(
            clock=self.clock,
            store=self.store,
            view=self.view,
            read_due_in=lambda age: timedelta(),
        )
        self.answer = WireRows(row_version=9)

        async def call_store(*arguments):
            return Ok((200, self.answer))

        self.store.call_store = call_store
        self.update(version=9)

    def update(self, *, version):
        """Apply what another instance read just now."""
        now = self.clock.monotonic()
        rows = RowsRead((server_row(3),), version, whole=False)
        for table in self.view.tables:
            self.view.apply(table, rows, now, "store")

    def is_list_fresh(self):
        return self.reader.is_list_fresh(BOUNDS)


# Guards against requests to a server that had left (DRAIN): an answer of the store that
# was older than the version asked for was taken for a current one.
def test_an_answer_older_than_the_version_asked_for_does_not_make_the_list_fresh(run):
    reader = Reader()
    reader.clock.advance(SECOND)
    reader.answer = WireRows(row_version=5)
    assert run(reader.reader.read_once(SERVERS_TABLE, timedelta()))
    assert reader.view.list_age() >= SECOND
    reader.answer = WireRows(row_version=10)
    assert run(reader.reader.read_once(SERVERS_TABLE, timedelta()))
    assert reader.view.list_age() < SECOND


# Guards against requests by a list of any age (DRAIN): a read that had failed long ago
# lifted the bound until the instance read the store again.
def test_a_read_that_failed_long_ago_does_not_lift_the_bound_on_the_lists_age():
    reader = Reader()
    reader.reader.record_failure(SERVERS_TABLE, "no answer")
    reader.clock.advance(SECOND * 5)
    # Reads go on failing.
    reader.reader.record_failure(SERVERS_TABLE, "no answer")
    assert reader.is_list_fresh()
    reader.update(version=10)
    reader.clock.advance(BOUND + SECOND)
    assert not reader.is_list_fresh()


# Guards against requests by a list of up to 7 s (DRAIN) though no read lagged any more.
def test_a_read_that_lagged_long_ago_does_not_widen_the_bound_on_the_lists_age():
    reader = Reader()
    reader.reader.outdated_at[SERVERS_TABLE] = reader.clock.monotonic()
    reader.clock.advance(BOUND + SECOND * 0.1)
    reader.reader.outdated_at[SERVERS_TABLE] = reader.clock.monotonic()
    assert reader.is_list_fresh()
    reader.clock.advance(BOUND + SECOND * 0.1)
    assert not reader.is_list_fresh()
