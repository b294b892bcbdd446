"""Which tests the workers of a run keep apart."""

from xdist.scheduler import LoadScopeScheduling

# Tests that start processes or have short timeouts. All run on one worker, so that they
# never run beside each other.
ONE_BY_ONE = (
    "tests/docs/test_readme.py",
    "tests/outcomes/test_killed_and_paused.py",
    "tests/outcomes/test_matrix.py",
    "tests/processes/",
    "tests/soak/",
)


def group_of(test: str) -> str:
    """Return the group of a test; its tests run on one worker, one after the other."""
    return "one by one" if test.startswith(ONE_BY_ONE) else test


class GroupScheduling(LoadScopeScheduling):
    """Send a group to one worker, and every other test to any.

    The mark `xdist_group` has no effect with pytest 9.2: xdist 3.8 passes the group in
    an attribute of the test that pytest no longer reads.
    """

    def _split_scope(self, nodeid: str) -> str:
        return group_of(nodeid)
