/* Open connections to peers: closing, the queue of frames to write, duplicate connections. */
#include "connection/peer_priv.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "connection/frame.h"

/* A connection with more queued is closed: its peer does not read or cannot keep up. */
#define MAX_QUEUED_BYTES (64u * 1024 * 1024)
#define MAX_FRAMES_PER_WRITE 32

static const struct log log = {"peer"};
CTR(ctr_duplicate, "peer_duplicate_total", "Second connections to the same peer given up.");
CTR(ctr_overflow, "peer_overflow_total", "Peer connections closed because the peer did not read.");
CTR(ctr_frames_out, "peer_frames_sent_total", "Frames queued for peers.");

struct peer_conn *peer_find_node(const struct peer_set *set, uint64_t node)
{
	struct peer_conn *c;

	HASH_FIND(hh, set->by_node, &node, sizeof(node), c);
	return c;
}

struct peer_conn *peer_find_current(const struct peer_set *set, const struct sockaddr_in *address)
{
	for (struct peer_conn *c = set->conns; c; c = c->next) {
		if (c->current && peer_address_compare(&c->address, address) == 0)
			return c;
	}
	return NULL;
}

static void discard_queue(struct peer_conn *c)
{
	while (c->queue) {
		struct peer_buffer *b = c->queue;

		c->queue = b->next;
		free(b->data);
		free(b);
	}
	c->queue_end = &c->queue;
	c->queued_bytes = 0;
	c->n_being_written = 0;
}

/* Ends the use of the connection for its node; does not close it. */
static void unset_current(struct peer_conn *c)
{
	HASH_DELETE(hh, c->set->by_node, c);
	c->current = false;
}

void peer_conn_close(struct peer_conn *c)
{
	struct peer_set *set = c->set;
	struct peer_target *t;

	if (c->closed)
		return;
	c->closed = true;
	if (!c->hello && !c->dialled)
		set->n_unidentified--;
	h2o_socket_close(c->sock);
	c->sock = NULL;
	discard_queue(c);
	t = c->target ? c->target : peer_find_target(set, &c->address);
	if (c->target && c->target->dialled_conn == c)
		c->target->dialled_conn = NULL;
	c->target = NULL;
	if (t && !c->retired)
		peer_schedule_redial(set, t);
	if (t && c->info.closed_by_peer && (c->current || MUTANT(peer_dial_closers)))
		t->next_dial = clk_now();
	if (c->current) {
		unset_current(c);
		log_info(&log, "peer %s at %s is down", c->info.id, peer_address_text(&c->address));
		if (set->handlers.on_down)
			set->handlers.on_down(set->data, &c->info);
	}
}

void peer_conn_free_closed(struct peer_set *set)
{
	for (struct peer_conn **at = &set->conns; *at;) {
		struct peer_conn *c = *at;

		if (!c->closed) {
			at = &c->next;
			continue;
		}
		*at = c->next;
		arena_free(&c->arena);
		free(c);
	}
}

static void write_queued(struct peer_conn *c);

/* Shuts down the sending direction of a retired connection once its queue is written. */
static void shutdown_if_retired(struct peer_conn *c)
{
	if (c->retired && !c->queue)
		shutdown(h2o_socket_get_fd(c->sock), SHUT_WR);
}

static void on_written(h2o_socket_t *sock, const char *err)
{
	struct peer_conn *c = sock->data;

	if (err) {
		/* The frames that the peer sent before are still to be read. */
		c->write_failed = true;
		discard_queue(c);
		if (MUTANT(peer_close_unread))
			peer_conn_close(c);
		return;
	}
	while (c->n_being_written) {
		struct peer_buffer *b = c->queue;

		c->queue = b->next;
		c->queued_bytes -= b->len;
		c->n_being_written--;
		free(b->data);
		free(b);
	}
	if (!c->queue)
		c->queue_end = &c->queue;
	write_queued(c);
	shutdown_if_retired(c);
}

/* Starts writing the next queued frames unless a write is in progress. */
static void write_queued(struct peer_conn *c)
{
	h2o_iovec_t iov[MAX_FRAMES_PER_WRITE];
	size_t n = 0;

	if (!c->connected || c->write_failed || c->n_being_written || !c->queue)
		return;
	for (struct peer_buffer *b = c->queue; b && n < MAX_FRAMES_PER_WRITE; b = b->next)
		iov[n++] = h2o_iovec_init(b->data, b->len);
	c->n_being_written = n;
	h2o_socket_write(c->sock, iov, n, on_written);
}

static enum peer_cause traffic_cause(const Bc__Frame *frame)
{
	switch (frame->body_case) {
	case BC__FRAME__BODY_RELAY:
	case BC__FRAME__BODY_RELAY_REPLY:
		return PEER_CAUSE_RELAY;
	case BC__FRAME__BODY_DOC_GET:
	case BC__FRAME__BODY_DOC:
		return PEER_CAUSE_DOC;
	case BC__FRAME__BODY_HEARTBEAT:
	case BC__FRAME__BODY__NOT_SET:
		return PEER_CAUSE_HEARTBEAT;
	default:
		return PEER_CAUSE_OTHER;
	}
}

bool peer_conn_send(struct peer_conn *c, Bc__Frame *frame)
{
	struct peer_set *set = c->set;
	struct peer_buffer *b;
	uint8_t *data;
	size_t len;

	if (c->write_failed && !MUTANT(peer_queue_unwritable))
		return false;
	frame->sender = set->self_node;
	frame->hlc = hlc_next(set->hlc, clk_utc());
	data = frame_pack(frame, &len);
	if (!data) {
		log_error(&log, "frame for %s not sent: it is over %u bytes",
			  peer_address_text(&c->address), FRAME_MAX_BYTES);
		return false;
	}
	if (c->queued_bytes + len > MAX_QUEUED_BYTES) {
		free(data);
		ctr_inc(&ctr_overflow);
		log_error(&log, "closed the connection to %s: the peer does not read sent frames",
			  peer_address_text(&c->address));
		peer_conn_close(c);
		return false;
	}
	b = malloc(sizeof(*b));
	if (!b)
		abort();
	*b = (struct peer_buffer){.data = data, .len = len};
	*c->queue_end = b;
	c->queue_end = &b->next;
	c->queued_bytes += len;
	c->last_sent = clk_now();
	if (c->remote)
		set->remote_bytes[traffic_cause(frame)] += len;
	ctr_inc(&ctr_frames_out);
	write_queued(c);
	return true;
}

/* Moves queued frames whose write has not begun to the connection that is kept. */
static void move_queue(struct peer_conn *from, struct peer_conn *to)
{
	struct peer_buffer **at = &from->queue;

	for (size_t i = 0; i < from->n_being_written; i++)
		at = &(*at)->next;
	if (!*at)
		return;
	*to->queue_end = *at;
	to->queue_end = from->queue_end;
	*at = NULL;
	from->queue_end = at;
	from->queued_bytes = 0;
	for (struct peer_buffer *b = from->queue; b; b = b->next)
		from->queued_bytes += b->len;
	to->queued_bytes = 0;
	for (struct peer_buffer *b = to->queue; b; b = b->next)
		to->queued_bytes += b->len;
	write_queued(to);
}

void peer_conn_make_current(struct peer_conn *c)
{
	c->current = true;
	HASH_ADD(hh, c->set->by_node, info.node, sizeof(c->info.node), c);
}

static void retire(struct peer_conn *c)
{
	ctr_inc(&ctr_duplicate);
	c->retired = true;
	shutdown_if_retired(c);
}

/* Whether `c` is to be kept rather than `old`, a connection to the same node. */
static bool is_preferred(const struct peer_conn *c, const struct peer_conn *old)
{
	bool self_is_lower;

	if (c->dialled == old->dialled)
		return true; /* one side has dialled again, so it has lost the old connection */
	/* The peer has not got HELLO on it and uses the old one. */
	if (c->write_failed && !MUTANT(peer_keep_unwritable))
		return false;
	self_is_lower = peer_address_compare(&c->set->self_address, &c->address) < 0;
	return c->dialled == self_is_lower;
}

void peer_conn_resolve_duplicate(struct peer_conn *c, struct peer_conn *old)
{
	if (MUTANT(peer_keep_duplicate))
		return;
	if (!is_preferred(c, old)) {
		retire(c);
		return;
	}
	unset_current(old);
	peer_conn_make_current(c);
	move_queue(old, c);
	if (c->dialled == old->dialled) {
		ctr_inc(&ctr_duplicate);
		peer_conn_close(old);
	} else {
		retire(old);
	}
}
