# Each target builds first: deploy/build does nothing where the requirements have not changed.
.PHONY: build test lint run check

CONFIG ?= $(RELAY_CONFIG)

build:
	bash deploy/build

test: build
	.venv/bin/python -m pytest -q

lint: build
	.venv/bin/ruff check .
	.venv/bin/mypy

check: build
	.venv/bin/python -m maddercart check --config "$(CONFIG)"

run: build
	exec .venv/bin/python -m maddercart serve --config "$(CONFIG)"
