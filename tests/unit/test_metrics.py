from datetime import timedelta

import pytest

from magnoliatrail.cli.options import settings_from
from magnoliatrail.metrics import NoMetrics, RecordedMetrics, metrics_from
from tests.unit.test_settings import VALID_SETTINGS


class FakeStatsClient:
    def __init__(self, host, port, prefix):
        self.address = (host, port, prefix)
        self.sent = []

    def incr(self, name, amount):
        self.sent.append(("count", name, amount))

    def timing(self, name, duration):
        self.sent.append(("timing", name, duration))

    def gauge(self, name, value):
        self.sent.append(("gauge", name, value))


def measure(metrics):
    metrics.count("loads")
    metrics.timing("load_stall", timedelta(seconds=0.25))
    metrics.gauge("batch_fill", 0.5)


def test_an_empty_host_turns_metrics_off():
    metrics = metrics_from(settings_from(VALID_SETTINGS), FakeStatsClient)
    assert isinstance(metrics, NoMetrics)
    measure(metrics)


@pytest.mark.parametrize("port", [8125, 9125])
def test_measurements_go_to_the_statsd_server_of_the_settings(port):
    settings = settings_from(
        {**VALID_SETTINGS, "statsd_host": "10.0.0.9", "statsd_port": port}
    )
    clients = []

    def connect(host, port, prefix):
        clients.append(FakeStatsClient(host, port, prefix))
        return clients[0]

    measure(metrics_from(settings, connect))
    assert clients[0].address == ("10.0.0.9", port, "magnoliatrail")
    assert clients[0].sent == [
        ("count", "loads", 1),
        ("timing", "load_stall", timedelta(seconds=0.25)),
        ("gauge", "batch_fill", 0.5),
    ]


def test_recorded_measurements_can_be_read():
    metrics = RecordedMetrics()
    measure(metrics)
    measure(metrics)
    assert metrics.counters == {"loads": 2}
    assert metrics.timings == {"load_stall": [timedelta(seconds=0.25)] * 2}
    assert metrics.gauges == {"batch_fill": [0.5, 0.5]}
