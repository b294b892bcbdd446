"""The quarantine of an instance that knows no other one."""

from magnoliatrail.ids import InstanceId
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.peers.quarantine_exchange import QuarantineExchange


def lone_quarantine(clock):
    """Return the quarantine of the only instance of a fleet."""
    return QuarantineExchange(
        clock=clock,
        metrics=NoMetrics(),
        peers=None,
        instance=InstanceId("only"),
        urls=dict,
    )
