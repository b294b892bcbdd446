"""Metrics by account: a bounded number of names, the others as one sum."""

from magnoliatrail.metrics import RecordedMetrics, StatsdMetrics
from magnoliatrail.metrics_text import MAX_NAMED_VALUES, TextMetrics


def test_at_most_so_many_accounts_are_named_and_the_rest_is_summed():
    """Ten thousand accounts would make the text too long to collect."""
    metrics = TextMetrics()
    for number in range(MAX_NAMED_VALUES + 50):
        metrics.count(f"granted_work.account.{number}", 10)
        metrics.gauge_add(f"waiting_work.account.{number}", 3)
        metrics.gauge_add(f"waiting_work.account.{number}", -1)
    text = metrics.text().decode()
    assert text.count("magnoliatrail_account_granted_work_tokens_total{") == 201
    assert 'account_granted_work_tokens_total{account="account.7"} 10.0' in text
    assert 'account_granted_work_tokens_total{account=""} 500.0' in text
    assert 'account_waiting_work_tokens{account="account.7"} 2.0' in text
    assert 'account_waiting_work_tokens{account=""} 100.0' in text


def test_the_parts_of_an_instance_share_a_gauge():
    metrics = RecordedMetrics()
    metrics.gauge_add("waiting_work.a", 5)
    metrics.gauge_add("waiting_work.a", -2)
    assert metrics.gauges["waiting_work.a"] == [5, 3]


def test_statsd_gets_the_change_of_a_gauge():
    class FakeStatsClient:
        def __init__(self):
            self.sent = []

        def gauge(self, name, value, delta=False):
            self.sent.append((name, value, delta))

    client = FakeStatsClient()
    StatsdMetrics(client).gauge_add("waiting_work.a", -2)
    assert client.sent == [("waiting_work.a", -2, True)]
