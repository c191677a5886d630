/* Input from peers: the HELLO of the handshake, then frames for the owner of the set. */
#include "connection/peer_priv.h"

#include <string.h>

#include "base/ctr.h"
#include "base/log.h"
#include "base/mutant.h"
#include "connection/frame.h"

/* Limits the input buffered for a connection before its HELLO, from an unknown sender. */
#define HELLO_MAX_BYTES 4096

static const struct log log = {"peer"};
CTR(ctr_up, "peer_connections_total", "Peer connections that completed the handshake.");
CTR(ctr_malformed, "peer_malformed_total", "Peer connections closed because of a bad frame.");
CTR(ctr_frames_in, "peer_frames_received_total", "Frames received from peers.");

static void conn_malformed(struct peer_conn *c, const char *what)
{
	ctr_inc(&ctr_malformed);
	log_error(&log, "closed the connection %s %s: %s", c->dialled ? "to" : "from",
		  peer_address_text(&c->address), what);
	peer_conn_close(c);
}

/* Returns what is wrong with a HELLO, NULL if it is valid; sets `*address` to the peer address. */
static const char *check_hello(const Bc__Hello *h, struct sockaddr_in *address)
{
	if (!h->id[0] || !h->incarnation[0] || !h->region[0] || !h->failure_domain[0])
		return "its HELLO lacks id, incarnation, region or failure domain";
	if (!peer_address_set(address, h->ip, h->peer_port))
		return "its HELLO has no valid peer address";
	if (!h->caller_port || h->caller_port > UINT16_MAX || !h->operator_port ||
	    h->operator_port > UINT16_MAX)
		return "its HELLO has no valid caller or operator port";
	return NULL;
}

static const char *copy_string(struct peer_conn *c, const char *s)
{
	return arena_str(&c->arena, str_from(s)).ptr;
}

static void fill_info(struct peer_conn *c, uint64_t node, const Bc__Hello *h)
{
	c->info = (struct peer_info){
		.node = node,
		.id = copy_string(c, h->id),
		.incarnation = copy_string(c, h->incarnation),
		.region = copy_string(c, h->region),
		.failure_domain = copy_string(c, h->failure_domain),
		.ip = copy_string(c, h->ip),
		.peer_port = h->peer_port,
		.caller_port = h->caller_port,
		.operator_port = h->operator_port,
		.last_received_at = c->info.last_received_at,
	};
}

static void handle_hello(struct peer_conn *c, const Bc__Frame *frame)
{
	struct peer_set *set = c->set;
	struct sockaddr_in address;
	const char *problem = check_hello(frame->hello, &address);
	struct peer_conn *old;
	struct peer_target *t;

	if (problem) {
		conn_malformed(c, problem);
		return;
	}
	if (frame->sender == set->self_node) {
		if (c->target)
			c->target->is_self = true;
		peer_conn_close(c);
		return;
	}
	if (!c->dialled)
		set->n_unidentified--;
	c->hello = true;
	c->address = address;
	c->remote = strcmp(frame->hello->region, set->self.region) != 0;
	if (c->remote)
		set->remote_bytes[PEER_CAUSE_OTHER] +=
			FRAME_HEADER_BYTES + bc__hello__get_packed_size(&set->self);
	fill_info(c, frame->sender, frame->hello);
	t = peer_find_target(set, &c->address);
	if (t) {
		t->backoff = PEER_DIAL_BACKOFF_MIN_MS;
		/* If the peer dialled, this process did not dial it since the refusals. */
		if (!MUTANT(peer_keep_refusal))
			t->refused_since = 0;
	}
	old = peer_find_node(set, c->info.node);
	if (old) {
		peer_conn_resolve_duplicate(c, old);
		return;
	}
	/* A new incarnation at the same address shows that the former one has ended. */
	old = peer_find_current(set, &c->address);
	if (old)
		peer_conn_close(old);
	if (c->closed)
		return;
	peer_conn_make_current(c);
	ctr_inc(&ctr_up);
	log_info(&log, "peer %s at %s is up", c->info.id, peer_address_text(&c->address));
	if (set->handlers.on_up)
		set->handlers.on_up(set->data, &c->info);
}

static void handle_frame(struct peer_conn *c, const Bc__Frame *frame)
{
	struct peer_set *set = c->set;

	ctr_inc(&ctr_frames_in);
	if (!c->hello && frame->body_case != BC__FRAME__BODY_HELLO) {
		conn_malformed(c, "its first frame is not HELLO; check that it is a router");
		return;
	}
	if (c->hello && frame->sender != c->info.node && !MUTANT(peer_accept_other_sender)) {
		conn_malformed(c, "a frame names another sender than its HELLO");
		return;
	}
	hlc_observe(set->hlc, frame->hlc, clk_utc());
	if (!c->hello) {
		handle_hello(c, frame);
		return;
	}
	if (frame->body_case == BC__FRAME__BODY_HELLO ||
	    frame->body_case == BC__FRAME__BODY__NOT_SET)
		return;
	if (set->handlers.on_frame)
		set->handlers.on_frame(set->data, &c->info, frame);
}

/*
 * Whether the length of a frame before HELLO is over HELLO_MAX_BYTES, checked as soon as its header
 * has arrived, so that the frame is not buffered.
 */
static bool first_frame_too_long(const struct peer_conn *c)
{
	const uint8_t *p = (const uint8_t *)c->sock->input->bytes;

	return !c->hello && c->sock->input->size >= FRAME_HEADER_BYTES &&
	       (p[0] || p[1] || (size_t)p[2] << 8 >= HELLO_MAX_BYTES);
}

void peer_on_read(h2o_socket_t *sock, const char *err)
{
	struct peer_conn *c = sock->data;

	if (sock->input->size)
		c->info.last_received_at = clk_now();
	while (!c->closed) {
		struct err why;
		Bc__Frame *frame;
		size_t consumed;
		enum frame_status status;

		if (first_frame_too_long(c)) {
			conn_malformed(c,
				       "its first frame is not HELLO; check that it is a router");
			return;
		}
		status = frame_unpack((const uint8_t *)c->sock->input->bytes, c->sock->input->size,
				      &frame, &consumed, &why);
		if (status == FRAME_INCOMPLETE)
			break;
		if (status == FRAME_MALFORMED) {
			conn_malformed(c, why.msg);
			return;
		}
		h2o_buffer_consume(&c->sock->input, consumed);
		handle_frame(c, frame);
		frame_free(frame);
	}
	if (!err || c->closed)
		return;
	/* After a reset, frames may be lost that the peer sent before. */
	c->info.closed_by_peer = err == h2o_socket_error_closed && !c->write_failed &&
				 !c->sock->input->size &&
				 (!peer_was_paused(c->set, clk_now()) || MUTANT(peer_date_by_read));
	peer_conn_close(c);
}
