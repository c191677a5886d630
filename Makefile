# Targets: make (build), make test, make demo, make demo-up, make bench, make format. See README.md.
CC ?= gcc
CXX ?= g++
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES := libh2o-evloop-dev libprotobuf-c-dev libcyaml-dev libyaml-dev libargtable2-dev \
	libjansson-dev zlib1g-dev libxxhash-dev uthash-dev check libsubunit-dev librapidcheck-dev libssl-dev \
	pkg-config procps shellcheck clang-format clang-tidy g++ python3 curl

CPPFLAGS := -Isrc -I. -D_GNU_SOURCE -DH2O_USE_LIBUV=0
WARN := -Wall -Wextra -Werror -Wno-unused-parameter
CFLAGS ?= -O2 -g
CFLAGS += -std=gnu11 $(WARN) -Wstrict-prototypes
CXXFLAGS ?= -O1 -g
CXXFLAGS += -std=gnu++14 $(WARN) -Wno-missing-field-initializers
LDLIBS := -lh2o-evloop -lssl -lcrypto -lprotobuf-c -lcyaml -lyaml -lz -ljansson -lxxhash -largtable2 -lm -lpthread
SAN := -fsanitize=address,undefined -fno-omit-frame-pointer -fno-sanitize-recover=undefined

LIB_SRC := $(sort $(wildcard src/base/*.c src/process/*.c src/version/*.c src/connection/*.c src/door/*.c \
	src/request/*.c src/accounts/*.c src/shared/*.c src/queue/*.c src/cost/*.c src/configcheck/*.c \
	src/tool/*.c src/proto/*.c platform/*.c))
BIN_SRC := $(wildcard src/bin/*.c)
STANDIN_SRC := $(wildcard standin/standin_*.c)
STANDIN_LIB := $(filter-out $(STANDIN_SRC),$(wildcard standin/*.c))
BENCH_SRC := $(wildcard bench/bench_*.c)
BENCH_LIB := $(filter-out $(BENCH_SRC),$(wildcard bench/*.c))
PROP_SRC := $(wildcard test/prop_*.cc)
UNIT_SRC := $(wildcard test/unit_*.c)
OWN_SRC := $(filter-out src/proto/%,$(LIB_SRC)) $(BIN_SRC) $(STANDIN_SRC) $(STANDIN_LIB) \
	$(BENCH_SRC) $(BENCH_LIB) $(UNIT_SRC)
FORMAT_SRC := $(OWN_SRC) $(PROP_SRC) $(filter-out src/proto/%,$(wildcard src/*/*.h)) \
	$(wildcard platform/*.h standin/*.h bench/*.h test/*.h)

# Two builds: "opt" for programs and benchmarks, "san" (sanitizers and mutants) for tests.
objs = $(patsubst %,$(BUILD)/$(1)/%.o,$(basename $(2)))
PROGRAMS := $(patsubst src/bin/%.c,bamboocroft-%,$(BIN_SRC)) \
	$(patsubst standin/standin_%.c,standin-%,$(STANDIN_SRC))

.PHONY: all packages programs test test-build unit props scripts lint format format-check demo demo-up \
	bench clean tidy
all: programs

packages:
	@tools/install-packages $(PACKAGES)

programs: $(addprefix $(BUILD)/bin/,$(PROGRAMS))
test-programs: $(addprefix $(BUILD)/san/bin/,$(PROGRAMS))

$(BUILD)/opt/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<
$(BUILD)/san/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) -DBC_MUTANTS $(CFLAGS) -O1 $(SAN) -MMD -MP -c -o $@ $<
$(BUILD)/san/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) -DBC_MUTANTS $(CXXFLAGS) $(SAN) -MMD -MP -c -o $@ $<

$(BUILD)/opt/lib.a: $(call objs,opt,$(LIB_SRC))
	@rm -f $@; ar rcs $@ $^
$(BUILD)/san/lib.a: $(call objs,san,$(LIB_SRC))
	@rm -f $@; ar rcs $@ $^

$(BUILD)/bin/bamboocroft-%: $(BUILD)/opt/src/bin/%.o $(BUILD)/opt/lib.a
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS)
$(BUILD)/bin/standin-%: $(BUILD)/opt/standin/standin_%.o $(call objs,opt,$(STANDIN_LIB)) $(BUILD)/opt/lib.a
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS)
$(BUILD)/san/bin/bamboocroft-%: $(BUILD)/san/src/bin/%.o $(BUILD)/san/lib.a
	@mkdir -p $(@D)
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)
$(BUILD)/san/bin/standin-%: $(BUILD)/san/standin/standin_%.o $(call objs,san,$(STANDIN_LIB)) $(BUILD)/san/lib.a
	@mkdir -p $(@D)
	$(CC) $(SAN) -o $@ $^ $(LDLIBS)
$(BUILD)/test/prop_%: $(BUILD)/san/test/prop_%.o $(BUILD)/san/lib.a
	@mkdir -p $(@D)
	$(CXX) $(SAN) -o $@ $^ -lrapidcheck $(LDLIBS)
$(BUILD)/test/unit_%: $(BUILD)/san/test/unit_%.o $(BUILD)/san/lib.a
	@mkdir -p $(@D)
	$(CC) $(SAN) -o $@ $^ -lcheck -lsubunit -lrt $(LDLIBS)
$(BUILD)/bench/bench_%: $(BUILD)/opt/bench/bench_%.o $(call objs,opt,$(BENCH_LIB)) $(BUILD)/opt/lib.a
	@mkdir -p $(@D)
	$(CC) -o $@ $^ $(LDLIBS)

test-build: test-programs $(patsubst test/%.cc,$(BUILD)/test/%,$(PROP_SRC)) \
	$(patsubst test/%.c,$(BUILD)/test/%,$(UNIT_SRC))

# One line "N passed, N failed" closes the run; see test/run.
test: packages
	@test/run

format:
	clang-format -i $(FORMAT_SRC)
format-check:
	clang-format --dry-run -Werror $(FORMAT_SRC)
$(BUILD)/tidy/%.ok: %.c
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- $(CPPFLAGS) -std=gnu11 2>$@.err >$@.out || (cat $@.out $@.err; exit 1)
	@touch $@
tidy: $(patsubst %.c,$(BUILD)/tidy/%.ok,$(OWN_SRC))
lint: format-check tidy

benches: $(patsubst bench/%.c,$(BUILD)/bench/%,$(BENCH_SRC))
bench: packages
	@$(MAKE) -s -j$(JOBS) programs benches
	@bench/run
demo: packages
	@$(MAKE) -s -j$(JOBS) programs
	@tools/demo
demo-up: packages
	@$(MAKE) -s -j$(JOBS) programs
	@tools/demo --up

clean:
	rm -rf $(BUILD)

.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
