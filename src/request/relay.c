#include "request/relay.h"

#include <stdlib.h>
#include <string.h>

#include "base/ctr.h"
#include "version/config.h"

CTR(ctr_sent, "relays_sent_total", "Requests sent to another region");
CTR(ctr_served, "relays_served_total", "Requests of another region served here");
CTR(ctr_over_budget, "relays_over_budget_total", "Relays refused for the budget of the link");

/* A relay without an answer ends with RELAY_UNKNOWN this long after the request's deadline. */
#define RELAY_MARGIN_MS 200
/* Size of the token bucket: the bytes that the link's budget allows in this time. */
#define RELAY_BURST_SECONDS 1

/* A request that this router sent to another region and that is not answered yet. */
struct sent_relay {
	struct sent_relay *next;
	uint64_t id;
	uint64_t node;	/* router that the request was sent to */
	clk_ms give_up; /* when the relay ends if no answer has come */
	relay_cb cb;
	void *data;
};

/* A request that a router of another region sent and that is served here. */
struct served_relay {
	struct served_relay *next;
	struct relay_set *set;
	uint64_t id;   /* chosen by the sending router */
	uint64_t node; /* router that sent the request */
	struct entry *entry;
};

struct relay_set {
	struct node *node;
	struct sent_relay *sent;
	struct served_relay *served;
	uint64_t next_id;
	double tokens;	 /* bytes that may be sent now */
	clk_ms refilled; /* when tokens were last added */
};

struct relay_set *relay_set_create(struct node *n)
{
	struct relay_set *r = calloc(1, sizeof(*r));

	r->node = n;
	r->next_id = 1;
	r->refilled = clk_now();
	r->tokens = n->settings->link_bytes_per_second;
	return r;
}

void relay_set_destroy(struct relay_set *r)
{
	if (!r)
		return;
	while (r->sent) {
		struct sent_relay *s = r->sent;

		r->sent = s->next;
		free(s);
	}
	while (r->served) {
		struct served_relay *s = r->served;

		r->served = s->next;
		free(s);
	}
	free(r);
}

/* Takes tokens for this many bytes. Returns false if there are not enough. */
static bool take_tokens(struct relay_set *r, clk_ms now, double bytes)
{
	double rate = r->node->settings->link_bytes_per_second;

	r->tokens += rate * (double)(now - r->refilled) / 1000;
	r->refilled = now;
	if (r->tokens > rate * RELAY_BURST_SECONDS)
		r->tokens = rate * RELAY_BURST_SECONDS;
	if (r->tokens < bytes)
		return false;
	r->tokens -= bytes;
	return true;
}

/* ---- sending side --------------------------------------------------------------------------- */

/* Returns a connected router of the region, by turns from relay to relay; 0 if there is none. */
static uint64_t pick_router(struct relay_set *r, struct str region)
{
	const struct peer_info *list[NODE_MAX_MEMBERS * 2];
	uint64_t found[NODE_MAX_MEMBERS * 2];
	size_t n = peer_list(r->node->peers, list, NODE_MAX_MEMBERS * 2);
	size_t count = 0;

	for (size_t i = 0; i < n; i++) {
		if (str_eq_cstr(region, list[i]->region))
			found[count++] = list[i]->node;
	}
	return count ? found[r->next_id % count] : 0;
}

/* Estimates the size of the relay frame. */
static size_t input_bytes(const struct entry_input *in)
{
	size_t bytes = in->path.len + in->body.len + 64;

	for (size_t i = 0; i < in->n_headers; i++)
		bytes += in->headers[i].name.len + in->headers[i].value.len + 4;
	return bytes;
}

static char *dup_str(struct arena *a, struct str s)
{
	return (char *)arena_str(a, s).ptr;
}

static Bc__Header **pack_headers(struct arena *a, const struct upconn_header *headers, size_t n)
{
	Bc__Header *list = arena_alloc(a, sizeof(*list) * (n + 1));
	Bc__Header **ptrs = arena_alloc(a, sizeof(*ptrs) * (n + 1));

	for (size_t i = 0; i < n; i++) {
		bc__header__init(&list[i]);
		list[i].name = dup_str(a, headers[i].name);
		list[i].value = dup_str(a, headers[i].value);
		ptrs[i] = &list[i];
	}
	return ptrs;
}

static bool send_request(struct relay_set *r, uint64_t node, uint64_t id,
			 const struct entry_input *in, clk_ms timeout)
{
	struct arena a = ARENA_INIT;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Relay msg = BC__RELAY__INIT;
	bool sent;

	msg.id = id;
	msg.method = dup_str(&a, in->method);
	msg.path = dup_str(&a, in->path);
	msg.headers = pack_headers(&a, in->headers, in->n_headers);
	msg.n_headers = in->n_headers;
	msg.body.data = (uint8_t *)in->body.ptr;
	msg.body.len = in->body.len;
	msg.timeout_ms = (uint32_t)timeout;
	frame.body_case = BC__FRAME__BODY_RELAY;
	frame.relay = &msg;
	sent = peer_send(r->node->peers, node, &frame);
	arena_free(&a);
	return sent;
}

uint64_t relay_send(struct relay_set *r, struct str region, const struct entry_input *in,
		    clk_ms timeout, relay_cb cb, void *data)
{
	clk_ms now = clk_now();
	uint64_t id = r->next_id++;
	uint64_t node = pick_router(r, region);
	struct sent_relay *s;

	if (!node) {
		cb(data, RELAY_NOT_SENT_UNREACHABLE, NULL);
		return 0;
	}
	if (!take_tokens(r, now, (double)input_bytes(in))) {
		ctr_inc(&ctr_over_budget);
		cb(data, RELAY_NOT_SENT_BUDGET, NULL);
		return 0;
	}
	if (!send_request(r, node, id, in, timeout)) {
		cb(data, RELAY_NOT_SENT_UNREACHABLE, NULL);
		return 0;
	}
	ctr_inc(&ctr_sent);
	s = calloc(1, sizeof(*s));
	s->id = id;
	s->node = node;
	s->give_up = now + timeout + RELAY_MARGIN_MS;
	s->cb = cb;
	s->data = data;
	s->next = r->sent;
	r->sent = s;
	return id;
}

/* Unlinks a sent relay and returns it; NULL if it has ended. */
static struct sent_relay *unlink_sent(struct relay_set *r, uint64_t id)
{
	for (struct sent_relay **p = &r->sent; *p; p = &(*p)->next) {
		struct sent_relay *s = *p;

		if (s->id != id)
			continue;
		*p = s->next;
		return s;
	}
	return NULL;
}

/* Ends a relay whose outcome is not known. */
static void give_up(struct relay_set *r, uint64_t id)
{
	struct sent_relay *s = unlink_sent(r, id);

	s->cb(s->data, RELAY_UNKNOWN, NULL);
	free(s);
}

void relay_cancel(struct relay_set *r, uint64_t id)
{
	struct sent_relay *s = unlink_sent(r, id);
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Cancel msg = BC__CANCEL__INIT;

	if (!s)
		return;
	msg.relay = id;
	frame.body_case = BC__FRAME__BODY_CANCEL;
	frame.cancel = &msg;
	peer_send(r->node->peers, s->node, &frame);
	free(s);
}

void relay_on_reply(struct relay_set *r, uint64_t from, const Bc__RelayReply *reply)
{
	struct sent_relay *s = unlink_sent(r, reply->id);
	struct upconn_header *headers;
	struct entry_answer answer;

	if (!s)
		return;
	headers = calloc(reply->n_headers + 1, sizeof(*headers));
	for (size_t i = 0; i < reply->n_headers; i++) {
		headers[i].name = str_from(reply->headers[i]->name);
		headers[i].value = str_from(reply->headers[i]->value);
	}
	answer = (struct entry_answer){
		.status = (int)reply->status,
		.headers = headers,
		.n_headers = reply->n_headers,
		.body = {(char *)reply->body.data, reply->body.len},
	};
	s->cb(s->data, RELAY_ANSWERED, &answer);
	free(headers);
	free(s);
}

void relay_set_tick(struct relay_set *r, clk_ms now)
{
	struct sent_relay *next;

	for (struct sent_relay *s = r->sent; s; s = next) {
		next = s->next;
		if (now > s->give_up)
			give_up(r, s->id);
	}
}

/* ---- serving side --------------------------------------------------------------------------- */

static void unlink_served(struct served_relay *s)
{
	struct served_relay **p = &s->set->served;

	while (*p != s)
		p = &(*p)->next;
	*p = s->next;
	free(s);
}

static void reply_relay(void *data, const struct entry_answer *a)
{
	struct served_relay *s = data;
	struct arena arena = ARENA_INIT;
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__RelayReply msg = BC__RELAY_REPLY__INIT;

	msg.id = s->id;
	msg.status = (uint32_t)a->status;
	msg.headers = pack_headers(&arena, a->headers, a->n_headers);
	msg.n_headers = a->n_headers;
	msg.body.data = (uint8_t *)a->body.ptr;
	msg.body.len = a->body.len;
	frame.body_case = BC__FRAME__BODY_RELAY_REPLY;
	frame.relay_reply = &msg;
	peer_send(s->set->node->peers, s->node, &frame);
	arena_free(&arena);
	unlink_served(s);
}

static const struct entry_source relay_source = {.reply = reply_relay};

void relay_on_request(struct relay_set *r, uint64_t from, const Bc__Relay *relay)
{
	struct upconn_header *headers = calloc(relay->n_headers + 1, sizeof(*headers));
	struct served_relay *s = calloc(1, sizeof(*s));
	struct entry_input in = {
		.method = str_from(relay->method),
		.path = str_from(relay->path),
		.headers = headers,
		.n_headers = relay->n_headers,
		.body = {(char *)relay->body.data, relay->body.len},
		.relayed = true,
	};
	uint64_t id = relay->id;
	struct entry *e;

	for (size_t i = 0; i < relay->n_headers; i++) {
		headers[i].name = str_from(relay->headers[i]->name);
		headers[i].value = str_from(relay->headers[i]->value);
	}
	s->set = r;
	s->id = id;
	s->node = from;
	s->next = r->served;
	r->served = s;
	ctr_inc(&ctr_served);
	e = entry_start_request(r->node->entries, &in, &relay_source, s);
	/* reply_relay() has freed `s` if the entry replied at once, so `s` must be looked up. */
	for (struct served_relay *it = r->served; it; it = it->next) {
		if (it->id == id && it->node == from)
			it->entry = e;
	}
	free(headers);
}

void relay_on_cancel(struct relay_set *r, uint64_t from, uint64_t id)
{
	for (struct served_relay *s = r->served; s; s = s->next) {
		if (s->id == id && s->node == from) {
			entry_abandon(s->entry);
			unlink_served(s);
			return;
		}
	}
}

static void abandon_served(struct relay_set *r, uint64_t node)
{
	struct served_relay *next;

	for (struct served_relay *s = r->served; s; s = next) {
		next = s->next;
		if (s->node != node)
			continue;
		entry_abandon(s->entry);
		unlink_served(s);
	}
}

void relay_on_peer_down(struct relay_set *r, uint64_t node)
{
	struct sent_relay *next;

	abandon_served(r, node);
	for (struct sent_relay *s = r->sent; s; s = next) {
		next = s->next;
		if (s->node == node)
			give_up(r, s->id);
	}
}
