PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test fuzz faults soak keysoak noticesoak restoresoak silencesoak stops bench decisions path claims capacity mutations reference format clean

.venv/ready: requirements.txt requirements-test.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.txt \
	    --requirement requirements-test.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch .venv/ready

demo: .venv/ready
	$(BIN)/python -m galenahatch.test.demo

test: .venv/ready
	$(BIN)/python runtests.py

fuzz: .venv/ready
	$(BIN)/python runtests.py fuzz

faults: .venv/ready
	$(BIN)/python runtests.py faults

soak: .venv/ready
	$(BIN)/python -m galenahatch.test.soak --first $$(date +%s) --seeds 10

keysoak: .venv/ready
	$(BIN)/python -m galenahatch.test.keysoak --first $$(date +%s) --seeds 10

noticesoak: .venv/ready
	$(BIN)/python -m galenahatch.test.noticesoak --first $$(date +%s) --seeds 10

restoresoak: .venv/ready
	$(BIN)/python -m galenahatch.test.restoresoak --first $$(date +%s) --seeds 10

silencesoak: .venv/ready
	$(BIN)/python -m galenahatch.test.silencesoak --first $$(date +%s) --seeds 10 --seconds 25

stops: .venv/ready
	$(BIN)/python -m galenahatch.test.stops --first $$(date +%s) --seeds 10

bench: .venv/ready
	$(BIN)/python -m bench.compare

decisions: .venv/ready
	$(BIN)/python -m bench.dispatching

path: .venv/ready
	$(BIN)/python -m bench.path

claims: .venv/ready
	$(BIN)/python -m bench.claims

capacity: .venv/ready
	$(BIN)/python -m bench.capacity

mutations: .venv/ready
	$(BIN)/python runtests.py mutations

reference: .venv/ready
	$(BIN)/python -m galenahatch.test.reference

format: .venv/ready
	$(BIN)/ruff format galenahatch bench runtests.py

clean:
	rm -rf .venv build .mypy_cache .ruff_cache
