PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test check lock env faults

env: .venv/installed

# Installs exactly the locked versions; the hashes are checked.
.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: env
	$(BIN)/python -m demo

test: env
	$(BIN)/python scripts/run_tests.py all

# More seeds of the fault suite than CI runs.
faults: env
	$(BIN)/python -m faults requests --seeds=$(or $(SEEDS),20) --first=$(or $(FIRST),100)
	$(BIN)/python -m faults packets --seeds=$(or $(SEEDS),20) --first=$(or $(FIRST),100)

check: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python scripts/check_lock.py

lock:
	$(BIN)/pip install --quiet uv
	$(BIN)/uv pip compile --quiet --generate-hashes --no-emit-index-url --no-header \
		--extra dev pyproject.toml -o requirements.lock
