from datetime import timedelta

from magnoliatrail.routing.circuit import Circuits, CircuitSettings, CircuitState

NOW = timedelta(seconds=5)
SETTINGS = CircuitSettings(failures_to_open=2, open_time=timedelta(seconds=1))
AFTER_OPEN_TIME = NOW + timedelta(seconds=1)


def open_circuits():
    circuits = Circuits(SETTINGS)
    for _ in range(2):
        circuits.failed("engine", NOW)
    return circuits


def test_one_failure_leaves_the_circuit_closed():
    circuits = Circuits(SETTINGS)
    circuits.failed("engine", NOW)
    assert circuits.allows("engine", NOW)


def test_consecutive_failures_open_the_circuit():
    assert not open_circuits().allows("engine", NOW)


def test_a_half_open_circuit_admits_one_probe():
    circuits = open_circuits()
    assert circuits.state("engine", AFTER_OPEN_TIME) is CircuitState.HALF_OPEN
    circuits.started("engine", AFTER_OPEN_TIME)
    assert not circuits.allows("engine", AFTER_OPEN_TIME)


def test_a_successful_probe_closes_the_circuit():
    circuits = open_circuits()
    circuits.started("engine", AFTER_OPEN_TIME)
    circuits.succeeded("engine")
    assert circuits.state("engine", AFTER_OPEN_TIME) is CircuitState.CLOSED


def test_a_failed_probe_reopens_the_circuit():
    circuits = open_circuits()
    circuits.started("engine", AFTER_OPEN_TIME)
    circuits.failed("engine", AFTER_OPEN_TIME)
    assert circuits.state("engine", AFTER_OPEN_TIME) is CircuitState.OPEN


def test_an_inconclusive_probe_allows_another():
    circuits = open_circuits()
    circuits.started("engine", AFTER_OPEN_TIME)
    circuits.ended("engine")
    assert circuits.state("engine", AFTER_OPEN_TIME) is CircuitState.HALF_OPEN
