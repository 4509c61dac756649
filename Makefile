# Every target sets up .venv first; only Python 3.11 and pip are needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

SEED ?= 1
STEPS ?= 200000

.PHONY: platform-day setup format lint test soak soak-platform soak-jobs soak-refusals soak-restarts soak-crowds soak-backlogs model demo demo-kill failures rolling tour worker-restarts bench bench-ablations bench-dispatch bench-agent capacity clean

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt packages/core/pyproject.toml packages/daemon/pyproject.toml packages/cli/pyproject.toml platform/pyproject.toml
	$(PYTHON) scripts/setup_venv.py $(VENV)
	touch $@

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/lint-imports

test: setup
	$(BIN)/python -m pytest -n 4

# Random faults on the consensus protocol; a failing seed replays exactly.
soak: setup
	$(BIN)/python -m scripts.soak --seed $(SEED) --steps $(STEPS)

# The same with agents, backend servers and callers.
soak-platform: setup
	$(BIN)/python -m scripts.soak --platform --seed $(SEED) --steps $(STEPS)

# Control hosts, runners, workers and callers of jobs; 20,000 steps a seed.
soak-jobs: setup
	$(BIN)/python -m scripts.soak --jobs --seed $(SEED) --steps $(STEPS)

# The same with workers that refuse orders for some seconds at a time.
soak-refusals: setup
	$(BIN)/python -m scripts.soak --refusals --seed $(SEED) --steps $(STEPS)

# The same with workers that start again under their id.
soak-restarts: setup
	$(BIN)/python -m scripts.soak --restarts --seed $(SEED) --steps $(STEPS)

# Large jobs that are cancelled, on workers that leave orders unanswered.
soak-crowds: setup
	$(BIN)/python -m scripts.soak --crowds --seed $(SEED) --steps $(STEPS)

# Workers with more ends than they list, while core and runners restart.
soak-backlogs: setup
	$(BIN)/python -m scripts.soak --backlogs --seed $(SEED) --steps $(STEPS)

bench: setup
	$(BIN)/python bench/agent_memory.py
	$(BIN)/python -m bench

# Named loads against the dispatcher alone, in virtual time.
bench-dispatch: setup
	$(BIN)/python -m bench.dispatch_loads
	$(BIN)/python -m bench.dispatch_cost

bench-ablations: setup
	$(BIN)/python -m bench --ablations

# Exhaustive search of the protocol's specifications; takes minutes.
model: setup
	$(BIN)/python -m scripts.model

demo: setup
	$(BIN)/python scripts/demo.py

demo-kill: setup
	$(BIN)/python scripts/demo.py --kill-leader

# Kills, freezes, cuts off and restarts real processes under load.
failures: setup
	$(BIN)/python scripts/failures.py

rolling: setup
	$(BIN)/python scripts/failures.py rolling-restart

# Restarts workers under their ids, beside the programs of the deploy file.
worker-restarts: setup
	deploy/build.sh
	$(BIN)/python -m scripts.worker_restarts --runs 2

tour: setup
	$(BIN)/python scripts/tour.py

capacity: setup
	$(BIN)/python -m bench.capacity

# Plays a day on the users' bench: BENCH, SITE and DAY name it.
platform-day:
	$(BENCH) run $(SITE) $(DAY)

bench-agent: setup
	$(BIN)/python bench/agent_memory.py

clean:
	rm -rf $(VENV)
