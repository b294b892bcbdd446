from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.generated.platform import ListedInstance, ListedKind, ListedState
from magnoliatrail.routing.candidates import CandidateIndex


def listed(number, domains):
    return ListedInstance(
        id=f"engine-{number}",
        kind=ListedKind.ENGINE,
        name="base",
        url="",
        failure_domain=f"domain-{number % domains}",
        state=ListedState.LIVE,
    )


def fleet(size, domains=3):
    return [listed(number, domains) for number in range(size)]


@settings(derandomize=True, max_examples=50)
@given(st.integers(1, 60), st.integers(1, 5), st.integers(1, 20), st.text())
def test_candidates_are_distinct_and_as_many_as_there_are(size, domains, count, name):
    chosen = CandidateIndex(fleet(size, domains)).candidates(name, count)
    assert len(chosen) == len(set(chosen)) == min(size, count)


def test_first_candidates_are_in_different_failure_domains():
    index = CandidateIndex(fleet(30))
    for number in range(50):
        first = index.candidates(f"adapter-{number}", 3)
        domains = {int(name.removeprefix("engine-")) % 3 for name in first}
        assert len(domains) == 3


def test_an_engine_that_leaves_moves_few_adapters():
    engines = fleet(24)
    before = CandidateIndex(engines)
    after = CandidateIndex(engines[1:])
    names = [f"adapter-{number}" for number in range(400)]
    moved = [
        name
        for name in names
        if before.candidates(name, 1) != after.candidates(name, 1)
        and before.candidates(name, 1) != ["engine-0"]
    ]
    assert not moved


def test_no_engine_gets_far_more_than_its_share():
    index = CandidateIndex(fleet(18))
    firsts = [index.candidates(f"adapter-{n}", 1)[0] for n in range(3600)]
    assert max(firsts.count(name) for name in set(firsts)) < 2.5 * 3600 / 18
