# "make demo" and "make test" install everything they need.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = core daemon cli fakes
FOLDERS = $(PACKAGES:%=packages/%) platform
# Processes that run the tests; auto is one for each core.
WORKERS ?= auto
CODE = packages platform tests benchmarks
export PYTHONPATH := $(subst $() ,:,$(FOLDERS:%=$(CURDIR)/%))
export PYTHONHASHSEED := 0

.PHONY: demo test crowds known-red lint format charts soak proofs

ifeq ($(VENV),.venv)
$(VENV)/ready: constraints.txt $(FOLDERS:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r constraints.txt
	$(BIN)/pip install -q --no-build-isolation --no-deps \
	  $(FOLDERS:%=-e ./%)
	touch $@
else
# An environment given as VENV may be shared with other checkouts, so it is
# used as is: installing into it would make them all run this checkout's code.
$(VENV)/ready:
	test -x $(BIN)/python
endif

demo: $(VENV)/ready
	$(BIN)/python -m nutmegchute_fakes.demo

test: $(VENV)/ready
	$(BIN)/python -m pytest -m "not known_red and not crowd" \
	  -n $(WORKERS)

# Each measures the memory of a daemon, so they run one at a time.
crowds: $(VENV)/ready
	$(BIN)/python -m pytest -m "crowd and not known_red"

known-red: $(VENV)/ready
	.ci/known-red $(BIN)/python

lint: $(VENV)/ready
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy $(PACKAGES:%=-p nutmegchute_%) -p nutmegchute_platform
	$(BIN)/mypy tests benchmarks

format: $(VENV)/ready
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)
	$(BIN)/ruff format $(CODE)

charts: $(VENV)/ready
	$(BIN)/python -m benchmarks.charts

# bench-NAME runs benchmarks/NAME.py.
bench-%: $(VENV)/ready
	$(BIN)/python -m benchmarks.$*

# make soak SOAK="--seconds=120 --seed=7"
soak: $(VENV)/ready
	$(BIN)/python -m nutmegchute_fakes.soak $(SOAK)

proofs: $(VENV)/ready
	$(BIN)/python -m nutmegchute_fakes.proofs docs/proofs.rst
