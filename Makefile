# Targets for users and developers; VENV= lets several work trees share one environment.
VENV ?= .venv
PY := $(VENV)/bin/python
CODE := foxtailhatch standins bench demo tools tests
SEED ?= 1
STEPS ?= 200
SEEDS ?= 1
# Commit from whose build the routers of soak-router start before they are replaced.
OLD ?=
export PYTHONPATH := $(CURDIR)

.PHONY: demo test lint format faults soak soak-router bench binary

$(VENV)/.ready:
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: $(VENV)/.ready
	$(PY) -m demo

test: $(VENV)/.ready
	$(PY) -m pytest -q -n 4

lint: $(VENV)/.ready
	$(PY) -m ruff format --check $(CODE)
	$(PY) -m ruff check $(CODE)
	$(PY) -m flake8 $(CODE)
	$(PY) -m mypy foxtailhatch standins bench demo tools

format: $(VENV)/.ready
	$(PY) -m ruff format $(CODE)
	$(PY) -m ruff check --fix $(CODE)

faults: $(VENV)/.ready
	PYTHONHASHSEED=0 $(PY) -m tests.faults

soak: $(VENV)/.ready
	PYTHONHASHSEED=0 $(PY) -m tests.soak --seed $(SEED) --steps $(STEPS)

soak-router: $(VENV)/.ready
	$(PY) -m tests.soak_router --seed $(SEED) --seeds $(SEEDS) $(if $(OLD),--old $(OLD))

bench: $(VENV)/.ready
	$(PY) -m bench

binary: $(VENV)/.ready
	$(PY) -m tools.collect_site build/site
	mkdir -p dist
	$(VENV)/bin/shiv --compressed --reproducible --site-packages build/site -e foxtailhatch.__main__:main -o dist/foxtailhatch -p '/usr/bin/env python3'
