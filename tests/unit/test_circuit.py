from datetime import timedelta

from magnoliatrail.routing.circuit import Circuits, CircuitSettings, CircuitState

NOW = timedelta(seconds=5)
SETTINGS = CircuitSettings(failures_to_open=2, open_time=timedelta(seconds=1))
LATER = NOW + timedelta(seconds=1)


def broken():
    circuits = Circuits(SETTINGS)
    for _ in range(2):
        circuits.failed("engine", NOW)
    return circuits


def test_one_failure_leaves_the_circuit_closed():
    circuits = Circuits(SETTINGS)
    circuits.failed("engine", NOW)
    assert circuits.allows("engine", NOW)


def test_failures_in_a_row_open_it():
    assert not broken().allows("engine", NOW)


def test_one_request_tries_it_again():
    circuits = broken()
    assert circuits.state("engine", LATER) is CircuitState.HALF_OPEN
    circuits.started("engine", LATER)
    assert not circuits.allows("engine", LATER)


def test_an_answer_closes_it():
    circuits = broken()
    circuits.started("engine", LATER)
    circuits.succeeded("engine")
    assert circuits.state("engine", LATER) is CircuitState.CLOSED


def test_a_failed_try_opens_it_again():
    circuits = broken()
    circuits.started("engine", LATER)
    circuits.failed("engine", LATER)
    assert circuits.state("engine", LATER) is CircuitState.OPEN
