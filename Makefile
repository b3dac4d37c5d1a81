PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test proofs days bench lint format clean

demo: $(VENV)/.installed
	$(BIN)/python -m berylshift.tools.demo
	$(BIN)/python -m berylshift.tools.demo_entry

test: $(VENV)/.installed lint
	$(BIN)/python -m berylshift.tools.run_tests

proofs: $(VENV)/.installed
	$(BIN)/python -m berylshift.tools.proofs

lint: $(VENV)/.installed
	$(BIN)/ruff check --no-cache .
	$(BIN)/ruff format --no-cache --check .

# FLEETBENCH: the users' program; SITES: the site files to play the days on.
days:
	@if [ -x "$(FLEETBENCH)" ]; then \
	  for site in $(SITES); do for day in deploy/days/*.toml; do \
	    $(FLEETBENCH) run $$site $$day | grep -E "^(rules broken|[a-z-]+ +[0-9]+/)"; \
	  done; done; \
	else \
	  echo "days not played: set FLEETBENCH to the users' program and SITES to their files"; \
	fi

format: $(VENV)/.installed
	$(BIN)/ruff check --no-cache --fix .
	$(BIN)/ruff format --no-cache .

bench: $(VENV)/.installed
	$(BIN)/python -m bench

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

clean:
	rm -rf $(VENV)
