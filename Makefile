PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
SOURCES := src standins bench tools

.PHONY: install test lint format demo bench soak lock clean

install: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tools.testrun

lint: $(STAMP)
	$(BIN)/yapf --diff --parallel --recursive $(SOURCES)
	$(BIN)/pylint --recursive=y --score=n $(SOURCES)

format: $(STAMP)
	$(BIN)/yapf --in-place --parallel --recursive $(SOURCES)

demo: $(STAMP)
	$(BIN)/python -m standins.demo

soak: $(STAMP)
	$(BIN)/python -m standins.soak $(SOAK_OPTIONS)

bench: $(STAMP)
	$(BIN)/python -m bench

lock:
	$(BIN)/python -m piptools compile --quiet --strip-extras --allow-unsafe --no-emit-index-url \
	    --no-emit-find-links --no-emit-trusted-host --extra dev --extra report \
	    --output-file requirements.lock pyproject.toml

clean:
	rm -rf $(VENV) build dist
