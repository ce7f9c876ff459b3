# Build, test, lint and run; .ci/run and the README use these.
PY := .venv/bin/python
SOURCES := $(shell find brookreach -name '*.py')
# What every RPC passes through is compiled; the rest is copied beside it.
COMPILED := enumerations.py balancer_settings.py events.py actions.py interface.py settings_object.py balancer_settings_reader.py \
	policy/common.py policy/cusum.py policy/thresholds.py policy/node_correlation.py policy/baseline_outcomes.py policy/sliding_window.py policy/weighted_nodes.py policy/actor.py policy/routed_rpc.py policy/retry_rules.py policy/executed_ids.py policy/timer_tokens.py policy/outcome_counts.py policy/canary_charts.py policy/canary_analysis.py policy/tracked_node.py policy/node_registry.py policy/node_selection.py policy/request_router.py policy/balancer.py \
	simulator_adapter/frame_codec.py simulator_adapter/translation.py simulator_adapter/instances.py \
	net/limits.py net/pgwire.py net/message_buffer.py net/statement.py net/result.py net/poller.py net/stream.py net/listener.py net/report.py net/barrier.py net/endpoint.py net/in_flight.py net/pool_state.py net/node_connection.py net/nodes.py \
	net/rpc_memory.py net/answers.py net/open_rpcs.py net/drain.py net/timers.py net/refusals.py net/rpc_receiver.py net/handshake.py net/unsupported_messages.py net/waiting_rows.py net/client_writer.py net/client.py net/eviction.py net/clients.py net/clock.py \
	net/event_queue.py net/driver_inbox.py net/rpc_intake.py net/driver.py

.PHONY: build tools test lint run sites clean

KIT := ../given/kit/sites

tools: .venv/tools

build: build/stamp

.venv/stamp: requirements.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

# The command line, plans, plots, tests and lint; nothing of it is needed by a marshal that `run` starts.
.venv/tools: .venv/stamp requirements-tools.txt requirements-dev.txt
	.venv/bin/pip -q install -r requirements-tools.txt -r requirements-dev.txt
	touch $@

build/stamp: .venv/stamp Makefile pyproject.toml $(SOURCES)
	rm -rf build/lib
	mkdir -p build/lib
	cp -r brookreach pyproject.toml build/lib/
	cd build/lib && MYPYC_OPT_LEVEL=2 ../../.venv/bin/mypyc $(addprefix brookreach/,$(COMPILED)) > ../mypyc.log 2>&1 \
		|| { cat ../mypyc.log >&2; exit 1; }
	rm -rf build/lib/build
	touch $@

test: .venv/tools
	$(PY) -m pytest -q -m "not real_time"
	$(PY) -m pytest -q -m real_time -n 0

lint: .venv/tools
	$(PY) -m ruff check brookreach tests
	$(PY) -m ruff format --check brookreach tests
	$(PY) -m mypy

# One real marshal; PROXY_CONFIG names its configuration.
run: build
	cd build/lib && exec ../../.venv/bin/python -m brookreach

# The kit's companion files beside our own sites, so that its programs play them; git ignores the copies.
sites:
	cp $(KIT)/wire.json $(KIT)/real.json $(KIT)/unlock.txt deploy/sites/

clean:
	rm -rf build .venv
