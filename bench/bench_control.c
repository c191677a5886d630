/*
 * Measures the control overhead of one router: processor time and memory of lease handling,
 * heartbeats, cell documents and the document table, for several sizes each. It calls the modules
 * and protobuf packing directly, without a network or an event loop. docs/CAPACITY.md multiplies
 * the slopes printed here by the sizes of a deployment.
 *
 * ns:   processor time of one operation, the smallest of ROUNDS rounds.
 * heap: heap bytes of the state that the operation works on, or of its result.
 * wire: bytes of the frames that the operation sends.
 *
 * The last three columns give the growth of these figures for each further unit of the size.
 */
#include <malloc.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/lease.h"
#include "proto/bamboocroft.pb-c.h"
#include "version/doc.h"
#include "version/member.h"

#define ROUNDS 9
#define ROUND_NS 10000000.0
#define CELL_VERSION 7
#define UTC_MS 1796000000000LL
#define MAX_MEMBERS LEASE_MAX_MEMBERS
#define ROW_BYTES 48

struct figures {
	double ns;
	double heap;
	double wire;
};

/* Prevents the compiler from removing operations whose results are not used otherwise. */
static volatile uint64_t result_sink;

static double cpu_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

/*
 * glibc counts freed chunks in its per-thread cache as used. Allocating all cached chunks of each
 * size class first makes the next allocations come from the heap, where they are counted.
 */
#define CACHE_CLASSES 64
#define CACHE_CHUNKS 7

static void *cached_chunks[CACHE_CLASSES][CACHE_CHUNKS];

static void drain_malloc_cache(void)
{
	for (size_t c = 0; c < CACHE_CLASSES; c++) {
		for (size_t i = 0; i < CACHE_CHUNKS; i++)
			cached_chunks[c][i] = malloc(24 + 16 * c);
	}
}

static void refill_malloc_cache(void)
{
	for (size_t c = 0; c < CACHE_CLASSES; c++) {
		for (size_t i = 0; i < CACHE_CHUNKS; i++)
			free(cached_chunks[c][i]);
	}
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static void *must_alloc(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size);

	if (!p)
		abort();
	return p;
}

typedef void (*op_fn)(void *state);

static double time_op(op_fn op, void *state)
{
	double best = -1;

	for (int round = 0; round < ROUNDS; round++) {
		double start = cpu_ns();
		double spent;
		size_t runs = 0;

		do {
			op(state);
			runs++;
			spent = cpu_ns() - start;
		} while (spent < ROUND_NS);
		spent /= (double)runs;
		if (best < 0 || spent < best)
			best = spent;
	}
	return best;
}

/* ---- table ---- */

static void print_row(const char *what, const char *unit, size_t size, size_t last_size,
		      const struct figures *f, const struct figures *last)
{
	printf("%-34s %-9s %5zu %12.0f %10.0f %9.0f", what, unit, size, f->ns, f->heap, f->wire);
	if (last) {
		double units = (double)size - (double)last_size;

		printf(" %10.1f %9.1f %9.1f", (f->ns - last->ns) / units,
		       (f->heap - last->heap) / units, (f->wire - last->wire) / units);
	}
	printf("\n");
}

typedef struct figures (*measure_fn)(size_t size);

static void measure(const char *what, const char *unit, const size_t *sizes, size_t n,
		    measure_fn fn)
{
	struct figures last = {0};

	for (size_t i = 0; i < n; i++) {
		struct figures f = fn(sizes[i]);

		print_row(what, unit, sizes[i], i ? sizes[i - 1] : 0, &f, i ? &last : NULL);
		last = f;
	}
}

/* ---- leases ---- */

/* A packed protobuf message. */
struct packed {
	uint8_t *bytes;
	size_t len;
};

struct lease_bench {
	size_t services;
	size_t members;
	size_t n_held; /* this router holds the leases of services 0 to n_held - 1 */
	bool frames;   /* also pack and unpack the frames */
	clk_ms now;
	uint64_t nodes[MAX_MEMBERS];
	struct lease **leases;
	struct lease_reply granted;
	struct packed request, reply;
	double wire; /* bytes of the frames packed by the last operation */
};

static void pack_frame(const Bc__Frame *frame, struct packed *out)
{
	out->len = bc__frame__get_packed_size(frame);
	out->bytes = must_alloc(out->len, 1);
	bc__frame__pack(frame, out->bytes);
}

static char service_name[] = "history";

static void pack_lease_request(const struct lease_ask *request, struct packed *out)
{
	Bc__LeaseAsk body = BC__LEASE_ASK__INIT;
	Bc__Frame frame = BC__FRAME__INIT;

	body.service = service_name;
	body.ballot = request->ballot;
	body.cell_version = request->cell_version;
	body.takeover = request->takeover;
	body.release = request->release;
	body.sent = (uint64_t)request->sent;
	frame.sender = 1;
	frame.hlc = UTC_MS << 16;
	frame.body_case = BC__FRAME__BODY_LEASE_ASK;
	frame.lease_ask = &body;
	pack_frame(&frame, out);
}

static void pack_lease_reply(const struct lease_reply *reply, struct packed *out)
{
	Bc__LeaseReply body = BC__LEASE_REPLY__INIT;
	Bc__Frame frame = BC__FRAME__INIT;

	body.service = service_name;
	body.granted = reply->granted;
	body.ballot = reply->ballot;
	body.cell_version = reply->cell_version;
	body.holder = reply->holder;
	body.remaining_ms = (uint32_t)reply->remaining;
	body.sent = (uint64_t)reply->sent;
	frame.sender = 1;
	frame.hlc = UTC_MS << 16;
	frame.body_case = BC__FRAME__BODY_LEASE_REPLY;
	frame.lease_reply = &body;
	pack_frame(&frame, out);
}

static void unpack_frame(const struct packed *p)
{
	Bc__Frame *frame = bc__frame__unpack(NULL, p->len, p->bytes);

	if (!frame)
		abort();
	result_sink += frame->body_case;
	bc__frame__free_unpacked(frame, NULL);
}

/*
 * Renews a lease that this router holds, if the renewal is due, with a granting reply from each
 * other member. If b->frames, packs the request and unpacks a reply for each member too.
 */
static void renew_held(struct lease_bench *b, struct lease *l)
{
	struct lease_ask request;
	struct packed out;

	if (!lease_tick(l, b->now, UTC_MS + b->now, &request))
		return;
	b->granted.ballot = request.ballot;
	b->granted.sent = request.sent;
	for (size_t i = 1; i < b->members; i++) {
		if (b->frames) {
			pack_lease_request(&request, &out);
			b->wire += (double)out.len;
			free(out.bytes);
			unpack_frame(&b->reply);
		}
		lease_on_reply(l, b->now, b->nodes[i], &b->granted);
	}
}

/* Answers the renewal of a lease that another router holds. */
static void answer_renewal(struct lease_bench *b, struct lease *l)
{
	struct lease_ask request = {.ballot = 1, .cell_version = CELL_VERSION, .sent = b->now};
	struct lease_reply reply;
	struct packed out;

	if (b->frames)
		unpack_frame(&b->request);
	lease_on_request(l, b->now, b->nodes[1], &request, &reply);
	result_sink += reply.granted;
	if (b->frames) {
		pack_lease_reply(&reply, &out);
		b->wire += (double)out.len;
		free(out.bytes);
	}
}

static void renew_all(void *state)
{
	struct lease_bench *b = state;

	b->now += lease_defaults.renew_every;
	b->wire = 0;
	for (size_t i = 0; i < b->n_held; i++)
		renew_held(b, b->leases[i]);
	for (size_t i = b->n_held; i < b->services; i++)
		answer_renewal(b, b->leases[i]);
}

/* Ticks all leases at the same time as before, so that no renewal is due. */
static void tick_all(void *state)
{
	struct lease_bench *b = state;
	struct lease_ask request;

	for (size_t i = 0; i < b->services; i++)
		result_sink += lease_tick(b->leases[i], b->now, UTC_MS + b->now, &request);
}

static struct figures lease_figures(size_t services, size_t members, bool frames, op_fn op)
{
	struct lease_bench b = {.services = services, .members = members, .frames = frames};
	const struct lease_ask request = {
		.ballot = UTC_MS, .cell_version = CELL_VERSION, .sent = 123456789};
	struct figures f = {0};
	double before;

	b.granted = (struct lease_reply){
		.granted = true, .cell_version = CELL_VERSION, .holder = 1, .remaining = 800};
	b.n_held = (services + members - 1) / members;
	pack_lease_request(&request, &b.request);
	pack_lease_reply(&b.granted, &b.reply);
	for (size_t i = 0; i < members; i++)
		b.nodes[i] = i + 1;
	b.leases = must_alloc(services, sizeof(struct lease *));
	drain_malloc_cache();
	before = heap_bytes();
	for (size_t i = 0; i < services; i++) {
		b.leases[i] = lease_create(&lease_defaults, b.nodes[0], i, 0);
		lease_set_members(b.leases[i], 0, CELL_VERSION, b.nodes, members);
	}
	f.heap = heap_bytes() - before;
	refill_malloc_cache();
	/* After the start-up wait and the delay of every rank, the first tick sends a request. */
	b.now = lease_defaults.duration + (clk_ms)members * lease_defaults.rank_delay;
	renew_all(&b);
	for (size_t i = 0; i < b.n_held; i++) {
		if (!lease_is_held(b.leases[i], b.now))
			abort();
	}
	f.ns = time_op(op, &b);
	f.wire = b.wire;
	for (size_t i = 0; i < services; i++)
		lease_destroy(b.leases[i]);
	free(b.leases);
	free(b.request.bytes);
	free(b.reply.bytes);
	return f;
}

static struct figures tick_by_services(size_t services)
{
	struct figures f = lease_figures(services, 12, false, tick_all);

	f.wire = 0;
	return f;
}

static struct figures renew_by_services(size_t services)
{
	return lease_figures(services, 12, false, renew_all);
}

static struct figures renew_by_members(size_t members)
{
	return lease_figures(192, members, false, renew_all);
}

static struct figures renew_frames_by_services(size_t services)
{
	return lease_figures(services, 12, true, renew_all);
}

static struct figures renew_frames_by_members(size_t members)
{
	return lease_figures(192, members, true, renew_all);
}

/* ---- heartbeats ---- */

struct heartbeat_bench {
	Bc__Frame frame;
	Bc__Heartbeat body;
	struct packed packed;
};

static void pack_heartbeat(void *state)
{
	struct heartbeat_bench *b = state;
	struct packed out;

	pack_frame(&b->frame, &out);
	result_sink += out.bytes[out.len - 1];
	free(out.bytes);
}

static void unpack_heartbeat(void *state)
{
	unpack_frame(&((struct heartbeat_bench *)state)->packed);
}

static struct figures heartbeat_figures(size_t n, op_fn op)
{
	struct heartbeat_bench b = {.frame = BC__FRAME__INIT, .body = BC__HEARTBEAT__INIT};
	char(*rows)[ROW_BYTES] = must_alloc(n, sizeof(*rows));
	Bc__DocVersion *docs = must_alloc(n, sizeof(*docs));
	Bc__LeaseView *leases = must_alloc(n, sizeof(*leases));
	struct figures f = {0};
	Bc__Frame *unpacked;
	double before;

	b.body.docs = must_alloc(n, sizeof(*b.body.docs));
	b.body.leases = must_alloc(n, sizeof(*b.body.leases));
	b.body.n_docs = b.body.n_leases = n;
	for (size_t i = 0; i < n; i++) {
		snprintf(rows[i], sizeof(rows[i]), "assign/meseta/service%zu", i);
		docs[i] = (Bc__DocVersion)BC__DOC_VERSION__INIT;
		docs[i].row = rows[i];
		docs[i].version = 1000 + i;
		b.body.docs[i] = &docs[i];
		leases[i] = (Bc__LeaseView)BC__LEASE_VIEW__INIT;
		leases[i].service = rows[i] + strlen("assign/meseta/");
		leases[i].holder = (uint64_t)i << 40;
		leases[i].ballot = UTC_MS;
		leases[i].remaining_ms = 600;
		b.body.leases[i] = &leases[i];
	}
	b.frame.sender = 1;
	b.frame.hlc = UTC_MS << 16;
	b.frame.body_case = BC__FRAME__BODY_HEARTBEAT;
	b.frame.heartbeat = &b.body;
	pack_frame(&b.frame, &b.packed);
	f.wire = (double)b.packed.len;
	drain_malloc_cache();
	before = heap_bytes();
	unpacked = bc__frame__unpack(NULL, b.packed.len, b.packed.bytes);
	if (!unpacked)
		abort();
	f.heap = heap_bytes() - before;
	refill_malloc_cache();
	bc__frame__free_unpacked(unpacked, NULL);
	f.ns = time_op(op, &b);
	free(b.packed.bytes);
	free((void *)b.body.docs);
	free((void *)b.body.leases);
	free(docs);
	free(leases);
	free(rows);
	return f;
}

static struct figures heartbeat_pack(size_t n)
{
	struct figures f = heartbeat_figures(n, pack_heartbeat);

	f.heap = f.wire;
	return f;
}

static struct figures heartbeat_unpack(size_t n)
{
	struct figures f = heartbeat_figures(n, unpack_heartbeat);

	f.wire = 0;
	return f;
}

/* ---- cell documents ---- */

struct cell_bench {
	struct packed packed;
	struct member_status *seen;
	size_t n;
	uint64_t version;
	struct lease *lease;
};

static void set_lease_members(struct cell_bench *b, const Bc__Cell *cell)
{
	uint64_t nodes[MAX_MEMBERS];

	for (size_t i = 0; i < cell->n_members && i < MAX_MEMBERS; i++)
		nodes[i] = member_node_number(cell->members[i]->id, cell->members[i]->incarnation);
	lease_set_members(b->lease, 0, ++b->version, nodes, cell->n_members);
}

/* Unpacks the cell document, checks whether it may take effect, and updates one lease with it. */
static void apply_cell(void *state)
{
	struct cell_bench *b = state;
	struct member_transition transition = {0};
	Bc__Cell *cell = bc__cell__unpack(NULL, b->packed.len, b->packed.bytes);

	if (!cell)
		abort();
	result_sink +=
		member_may_activate(&transition, 1, lease_defaults.duration, cell, b->seen, b->n);
	result_sink += member_may_activate(&transition, 1 + lease_defaults.duration,
					   lease_defaults.duration, cell, b->seen, b->n);
	set_lease_members(b, cell);
	bc__cell__free_unpacked(cell, NULL);
}

static void apply_to_lease(void *state)
{
	struct cell_bench *b = state;
	uint64_t nodes[MAX_MEMBERS];

	for (size_t i = 0; i < b->n; i++)
		nodes[i] = b->seen[i].node;
	lease_set_members(b->lease, 0, ++b->version, nodes, b->n);
}

static struct figures cell_figures(size_t n, op_fn op)
{
	struct cell_bench b = {.n = n};
	Bc__Cell cell = BC__CELL__INIT;
	Bc__Member *members = must_alloc(n, sizeof(*members));
	char(*names)[ROW_BYTES] = must_alloc(n, sizeof(*names));
	struct figures f = {0};
	Bc__Cell *unpacked;
	double before;

	b.seen = must_alloc(n, sizeof(*b.seen));
	cell.members = must_alloc(n, sizeof(*cell.members));
	cell.n_members = cell.n_previous = n;
	for (size_t i = 0; i < n; i++) {
		snprintf(names[i], sizeof(names[i]), "router-meseta-%zu", i);
		members[i] = (Bc__Member)BC__MEMBER__INIT;
		members[i].id = names[i];
		members[i].incarnation = "01234567-89abcdef";
		members[i].ip = "10.20.30.40";
		members[i].peer_port = members[i].caller_port = members[i].operator_port = 9000;
		members[i].failure_domain = "meseta-a";
		cell.members[i] = &members[i];
		b.seen[i].node = member_node_number(names[i], members[i].incarnation);
		b.seen[i].cell_version = CELL_VERSION;
	}
	cell.previous = cell.members;
	cell.version = CELL_VERSION;
	cell.region = "meseta";
	b.packed.len = bc__cell__get_packed_size(&cell);
	b.packed.bytes = must_alloc(b.packed.len, 1);
	bc__cell__pack(&cell, b.packed.bytes);
	f.wire = (double)b.packed.len;
	drain_malloc_cache();
	before = heap_bytes();
	unpacked = bc__cell__unpack(NULL, b.packed.len, b.packed.bytes);
	if (!unpacked)
		abort();
	f.heap = heap_bytes() - before;
	refill_malloc_cache();
	bc__cell__free_unpacked(unpacked, NULL);
	b.lease = lease_create(&lease_defaults, b.seen[0].node, 1, 0);
	f.ns = time_op(op, &b);
	lease_destroy(b.lease);
	free(b.packed.bytes);
	free(b.seen);
	free((void *)cell.members);
	free(members);
	free(names);
	return f;
}

static struct figures measure_cell_apply(size_t n)
{
	return cell_figures(n, apply_cell);
}

static struct figures measure_cell_lease_update(size_t n)
{
	struct figures f = cell_figures(n, apply_to_lease);
	struct figures leases = lease_figures(1, n, false, tick_all);

	f.heap = leases.heap;
	f.wire = 0;
	return f;
}

/* ---- document table ---- */

#define BODY_BYTES 1024

struct doc_bench {
	struct doc_set *set;
	size_t docs;
	size_t peers;
	uint64_t version;
	char (*rows)[ROW_BYTES];
	uint64_t nodes[MAX_MEMBERS];
};

static void put_all(void *state)
{
	static const char body[BODY_BYTES];
	struct doc_bench *b = state;

	b->version++;
	for (size_t i = 0; i < b->docs; i++)
		result_sink += doc_put(b->set, str_from(b->rows[i]), b->version,
				       (struct str){body, sizeof(body)});
}

/* Records for each peer the versions of all documents, as the router does for heartbeats. */
static void record_peer_versions(void *state)
{
	struct doc_bench *b = state;

	b->version++;
	for (size_t p = 0; p < b->peers; p++) {
		for (size_t i = 0; i < b->docs; i++)
			doc_set_peer_version(b->set, b->nodes[p], str_from(b->rows[i]), b->version);
	}
}

static void count_holders(void *state)
{
	struct doc_bench *b = state;

	result_sink +=
		doc_count_holders(b->set, str_from(b->rows[0]), b->version, b->nodes, b->peers);
}

static struct figures doc_figures(size_t docs, size_t peers, op_fn fill, op_fn op)
{
	struct doc_bench b = {.docs = docs, .peers = peers, .set = doc_set_create()};
	struct figures f = {0};
	double before;

	b.rows = must_alloc(docs, sizeof(*b.rows));
	for (size_t i = 0; i < docs; i++)
		snprintf(b.rows[i], sizeof(b.rows[i]), "assign/meseta/service%zu", i);
	for (size_t p = 0; p < peers; p++)
		b.nodes[p] = p + 1;
	drain_malloc_cache();
	before = heap_bytes();
	fill(&b);
	f.heap = heap_bytes() - before;
	refill_malloc_cache();
	f.ns = time_op(op, &b);
	doc_set_destroy(b.set);
	free(b.rows);
	return f;
}

static struct figures doc_store(size_t n)
{
	return doc_figures(n, 0, put_all, put_all);
}

static struct figures doc_record_by_peers(size_t peers)
{
	return doc_figures(32, peers, record_peer_versions, record_peer_versions);
}

static struct figures doc_record_by_docs(size_t docs)
{
	return doc_figures(docs, 12, record_peer_versions, record_peer_versions);
}

static struct figures doc_count(size_t peers)
{
	struct figures f = doc_figures(32, peers, record_peer_versions, count_holders);

	f.heap = 0;
	return f;
}

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

int main(void)
{
	static const size_t services[] = {12, 48, 192, 768};
	static const size_t members[] = {3, 6, 12, 48};
	static const size_t docs[] = {8, 32, 128, 512};

	printf("%-34s %-9s %5s %12s %10s %9s %10s %9s %9s\n", "operation", "unit", "size", "ns",
	       "heap B", "wire B", "ns/unit", "heap/unit", "wire/unit");
	measure("lease: tick, 12 members", "services", services, COUNT(services), tick_by_services);
	measure("lease: renew, 12 members", "services", services, COUNT(services),
		renew_by_services);
	measure("lease: renew, 192 services", "members", members, COUNT(members), renew_by_members);
	measure("lease: renew + frames, 12 members", "services", services, COUNT(services),
		renew_frames_by_services);
	measure("lease: renew + frames, 192 services", "members", members, COUNT(members),
		renew_frames_by_members);
	measure("heartbeat: pack", "docs+serv", docs, COUNT(docs), heartbeat_pack);
	measure("heartbeat: unpack", "docs+serv", docs, COUNT(docs), heartbeat_unpack);
	measure("cell: apply, 1 service", "members", members, COUNT(members), measure_cell_apply);
	measure("cell: each further service", "members", members, COUNT(members),
		measure_cell_lease_update);
	measure("doc: store, 1 KiB bodies", "docs", docs, COUNT(docs), doc_store);
	measure("doc: note 12 peers", "docs", docs, COUNT(docs), doc_record_by_docs);
	measure("doc: note peers, 32 docs", "members", members, COUNT(members),
		doc_record_by_peers);
	measure("doc: count holders", "members", members, COUNT(members), doc_count);
	return 0;
}
