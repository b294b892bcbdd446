"""The start of an instance whose store may answer from an older copy."""

from datetime import timedelta
from types import SimpleNamespace

from magnoliatrail.clock import ManualClock
from magnoliatrail.membership.start_check import CONFIRMATION_TIMEOUT, StartCheck


class Start:
    """A starting instance; `newest` is what the owner of a cell knows."""

    def __init__(self):
        self.clock = ManualClock()
        self.view = SimpleNamespace(routes=None)
        self.owner_answers = False
        self.check = StartCheck(
            clock=self.clock,
            view=self.view,
            confirmed=lambda: self.owner_answers,
            ensure_fresh=self.read_fresh,
        )

    async def read_fresh(self):
        return True


# Guards against a withdrawn key, or a server that left, that is in use again as the
# store answers a new instance from an older copy.
def test_nothing_is_routed_until_an_owner_has_confirmed_the_tables():
    start = Start()
    assert not start.check.passed()
    start.view.routes = "from an older copy"
    assert not start.check.passed()
    start.clock.advance(CONFIRMATION_TIMEOUT / 2)
    assert not start.check.passed()
    start.owner_answers = True
    assert start.check.passed()
    start.owner_answers = False
    assert start.check.passed()


def test_without_an_owner_the_store_is_believed_after_a_time():
    start = Start()
    start.clock.advance(timedelta(seconds=60))
    start.view.routes = "known"
    assert not start.check.passed()
    start.clock.advance(CONFIRMATION_TIMEOUT)
    assert start.check.passed()


def test_a_request_before_any_configuration_is_not_delayed(run):
    start = Start()
    assert run(start.check.ensure_fresh())
