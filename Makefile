.PHONY: demo test lint types bench generate check-generated clean tables slopes \
	soak bench-accounting bench-configuration bench-chunks bench-accounts bench-together plots
VENV := .venv
SEEDS ?= 10
# Workers of `make test`: 0 runs all tests in one process, auto uses half of the cores.
WORKERS ?= 0
PYTHON ?= $(VENV)/bin/python
export PYTHONPATH := src

demo: $(VENV)/ready
	$(PYTHON) -m magnoliatrail demo

test: $(VENV)/ready
	$(PYTHON) -m pytest -n $(WORKERS)

lint: $(VENV)/ready
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m ruff check .
	$(dir $(PYTHON))lint-imports --no-logo

types: $(VENV)/ready
	$(PYTHON) -m mypy

generate: $(VENV)/ready
	$(PYTHON) scripts/generate.py
	$(PYTHON) -m scripts.settings_table

check-generated: $(VENV)/ready
	$(PYTHON) scripts/generate.py --check
	$(PYTHON) -m scripts.settings_table --check
	$(PYTHON) -m scripts.error_table --check

tables: $(VENV)/ready
	$(PYTHON) -m scripts.settings_table
	$(PYTHON) -m scripts.error_table
	$(PYTHON) -m benchmarks.capacity

slopes: $(VENV)/ready
	$(PYTHON) -m benchmarks.slopes
	$(PYTHON) -m benchmarks.capacity

bench-together: $(VENV)/ready
	$(PYTHON) -m benchmarks.together

$(VENV)/ready: requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

soak: $(VENV)/ready
	$(PYTHON) -m tests.soak --seeds $(SEEDS)

bench-accounting: $(VENV)/ready
	$(PYTHON) -m benchmarks.body_accounting

bench: $(VENV)/ready
	$(PYTHON) -m benchmarks.routing_cost
	$(PYTHON) -m benchmarks.run

plots: $(VENV)/ready
	$(PYTHON) -m benchmarks.plots

bench-configuration: $(VENV)/ready
	$(PYTHON) -m benchmarks.configuration_spread

bench-chunks: $(VENV)/ready
	$(PYTHON) benchmarks/entry_chunk_cost.py

bench-accounts: $(VENV)/ready
	$(PYTHON) -m benchmarks.account_rows

clean:
	rm -rf $(VENV) .pytest_cache .mypy_cache .ruff_cache .hypothesis
