#include "connection/listener.h"

#include <stdlib.h>

#include "connection/timer.h"

/* Time for a request head to arrive; a caller that takes longer gets response 408. */
#define REQUEST_HEAD_TIMEOUT_MS 10000
#define IDLE_TIMEOUT_MS 10000
#define MAX_HEADER_BYTES (64u * 1024)

/* The listener's data of a request, in the request's arena. */
struct request_state {
	struct listener *listener;
	struct ingress_request *req;
	void (*on_end)(void *data);
	void *data;
	bool ended;		    /* listener_reply() was called, or its connection closed */
	struct request_state *next; /* in the listener's `ended` list */
};

struct listener {
	struct ingress *ingress;
	struct ingress_limits limits;
	listener_handler handler;
	void *data;
	struct timer timer; /* frees the requests in `ended` */
	struct request_state *ended;
};

static void free_ended_requests(struct listener *l)
{
	while (l->ended) {
		struct request_state *s = l->ended;

		l->ended = s->next;
		if (s->on_end)
			s->on_end(s->data);
		ingress_request_free(s->req);
	}
}

static void on_timer(struct timer *timer, void *data)
{
	free_ended_requests(data);
}

/* Schedules the freeing of a request; functions up the call stack may still use it now. */
static void end_request(struct request_state *s)
{
	struct listener *l = s->listener;

	/* The handler may respond after the connection closed, before the request is freed. */
	if (s->ended)
		return;
	s->ended = true;
	s->next = l->ended;
	l->ended = s;
	timer_arm(&l->timer, 0);
}

static void on_request(void *data, struct ingress_request *req)
{
	struct listener *l = data;
	struct request_state *s = arena_alloc(&req->arena, sizeof(*s));

	s->listener = l;
	s->req = req;
	req->data = s;
	l->handler(l->data, req);
}

static void on_caller_closed(void *data, struct ingress_request *req)
{
	end_request(req->data);
}

static const struct ingress_limits *limits(void *data)
{
	return &((struct listener *)data)->limits;
}

struct listener *listener_create(h2o_loop_t *loop, const char *ip, uint32_t port,
				 size_t max_body_bytes, listener_handler handler, void *data,
				 struct err *err)
{
	static const struct ingress_handlers handlers = {
		.on_request = on_request, .on_caller_closed = on_caller_closed, .limits = limits};
	struct listener *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->handler = handler;
	l->data = data;
	l->limits = (struct ingress_limits){
		.max_header_bytes = MAX_HEADER_BYTES,
		.max_body_bytes = max_body_bytes,
		.header_timeout = REQUEST_HEAD_TIMEOUT_MS,
		.idle_timeout = IDLE_TIMEOUT_MS,
	};
	l->ingress = ingress_create(loop, ip, port, &handlers, l, err);
	if (!l->ingress) {
		free(l);
		return NULL;
	}
	timer_init(&l->timer, loop, on_timer, l);
	return l;
}

void listener_shutdown(struct listener *l)
{
	ingress_drain(l->ingress);
	ingress_stop_accepting(l->ingress);
}

size_t listener_open_requests(const struct listener *l)
{
	return ingress_open_requests(l->ingress);
}

size_t listener_connections(const struct listener *l)
{
	return ingress_connections(l->ingress);
}

void listener_destroy(struct listener *l)
{
	if (!l)
		return;
	ingress_close(l->ingress);
	free_ended_requests(l);
	ingress_destroy(l->ingress);
	timer_release(&l->timer);
	free(l);
}

void listener_reply(struct ingress_request *req, int status, const struct ingress_header *headers,
		    size_t n, struct str body)
{
	ingress_reply(req, status, headers, n, body, false);
	end_request(req->data);
}

void listener_set_end_callback(struct ingress_request *req, void (*on_end)(void *data), void *data)
{
	struct request_state *s = req->data;

	s->on_end = on_end;
	s->data = data;
}
