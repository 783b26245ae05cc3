PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test bench dist format lint clean

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	$(BIN)/python -c "import os, site; \
		open(site.getsitepackages()[0] + '/standins.pth', 'w').write(os.getcwd())"
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m standins.demo

test: $(VENV)/.ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python -m tests

bench: $(VENV)/.ready
	$(BIN)/lentilrouter bench all

dist: $(VENV)/.ready
	mkdir -p dist
	rm -rf build
	$(BIN)/pip wheel --quiet --disable-pip-version-check --no-deps -w build/wheels .
	$(BIN)/shiv --quiet --console-script lentilrouter --output-file dist/lentilrouter \
		--python '/usr/bin/env python3' --root /dev/shm/lentilrouter \
		--no-deps -r requirements-ship.txt build/wheels/lentilrouter-*.whl

format: $(VENV)/.ready
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

clean:
	rm -rf $(VENV) build dist
