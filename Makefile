# Each target builds first: deploy/build does nothing where the requirements have not changed.
.PHONY: build test lint run check lab lab-tools demo

CONFIG ?= $(RELAY_CONFIG)

build:
	bash deploy/build

test: build lab-tools
	.venv/bin/python -m pytest -q -n 4

lint: build lab-tools
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy

check: build
	.venv/bin/python -m maddercart check --config "$(CONFIG)"

run: build
	exec .venv/bin/python -m maddercart serve --config "$(CONFIG)"

# What only the lab needs, beside what the sidecar needs.
lab-tools: build
	@cmp -s requirements-lab.txt .venv/lab || (.venv/bin/pip -q install -r requirements-lab.txt && cp requirements-lab.txt .venv/lab)

# A first experiment and its report, in half a minute.
lab: lab-tools
	.venv/bin/python -m maddercart lab sweep first-look --out found/first-look

# Stand-ins in two zones, a gateway and load, all on loopback; one zone falls silent and comes back.
demo: build
	.venv/bin/python -m maddercart demo
