from hypothesis import given
from hypothesis import strategies as st

from magnoliatrail.rendezvous import ranked

members = st.sets(st.text(min_size=1, max_size=8), min_size=2, max_size=12)


@given(st.text(), members)
def test_leaving_member_moves_only_its_own_keys(key, names):
    order = ranked(key, names)
    for leaving in names:
        remaining = ranked(key, names - {leaving})
        assert remaining == [name for name in order if name != leaving]


@given(st.text(), members)
def test_order_does_not_depend_on_the_order_of_members(key, names):
    assert ranked(key, sorted(names)) == ranked(key, sorted(names, reverse=True))
