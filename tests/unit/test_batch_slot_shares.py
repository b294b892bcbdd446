from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.placement.batch_slot_shares import HolderDemand, share_batch_slots

counts = st.integers(0, 40)
demands = st.dictionaries(
    st.text("abcdef", min_size=1, max_size=3),
    st.builds(HolderDemand, counts, counts),
    min_size=1,
    max_size=8,
)


@settings(derandomize=True)
@given(demands, st.integers(1, 32))
def test_shares_fill_the_batch_with_bounded_overcommitment(holders, batch_slots):
    shares = share_batch_slots(holders, batch_slots)
    wanted = sum(demand.wanted for demand in holders.values())
    used = sum(min(shares[name], holders[name].wanted) for name in holders)
    assert used >= min(wanted, batch_slots)
    assert used <= round(batch_slots * 1.25) + len(holders)
    assert min(shares.values()) >= 1


def test_shares_follow_demand():
    holders = {"busy": HolderDemand(6, 20), "calm": HolderDemand(1, 0)}
    assert share_batch_slots(holders, 8) == {"busy": 9, "calm": 1}
