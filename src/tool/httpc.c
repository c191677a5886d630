#include "tool/httpc.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <h2o/http1client.h>

#include "base/arena.h"

#define IDLE_CONNECTION_MS 30000 /* after which an idle connection in the pool is closed */
#define MAX_LOOP_WAIT_MS 100

struct httpc {
	h2o_loop_t *loop;
	char *address;
	h2o_socketpool_t pool;
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout; /* of h2o's client; longer, so that `call_timeout` fires first */
	h2o_timeout_t call_timeout; /* of a whole call */
	h2o_timeout_t zero_timeout; /* for callbacks deferred to the next loop iteration */
};

/* One call in progress. */
struct call {
	struct httpc *c;    /* client that sends the call */
	struct arena arena; /* holds this struct, the request and the answer's headers */
	h2o_http1client_t *client;
	h2o_timeout_entry_t timeout;
	h2o_iovec_t request; /* head and body as sent */
	httpc_cb cb;
	void *data;
	bool sending;	/* httpc_send() has not returned yet */
	bool connected; /* a connection was opened, so the request may have been sent */
	struct httpc_answer answer;
	h2o_buffer_t *body; /* answer's body received so far */
};

/* Result of a call that httpc_wait() waits for. */
struct sync_call {
	bool done;
	enum httpc_result result;
	int status;
	char *body;
	size_t len;
};

static const char *const result_names[] = {
	[HTTPC_OK] = "ok",
	[HTTPC_CONNECT_FAILED] = "connect-failed",
	[HTTPC_CONNECTION_LOST] = "broke",
	[HTTPC_TIMEOUT] = "timeout",
};

const char *httpc_result_name(enum httpc_result result)
{
	return result_names[result];
}

struct str httpc_header(const struct httpc_answer *a, const char *name)
{
	for (size_t i = 0; i < a->n_headers; i++) {
		if (str_eq_cstr(a->headers[i].name, name))
			return a->headers[i].value;
	}
	return STR_NULL;
}

static void on_deferred(h2o_timeout_entry_t *entry);

/* Ends the call: runs the callback and frees `call`, or defers both during httpc_send(). */
static void finish_call(struct call *call, enum httpc_result result)
{
	struct arena arena = call->arena;

	h2o_timeout_unlink(&call->timeout);
	call->answer.result = result;
	if (call->sending) {
		call->timeout.cb = on_deferred;
		h2o_timeout_link(call->c->loop, &call->c->zero_timeout, &call->timeout);
		return;
	}
	call->answer.body = (struct str){call->body->bytes, call->body->size};
	call->cb(call->data, &call->answer);
	h2o_buffer_dispose(&call->body);
	arena_free(&arena); /* holds `call` itself */
}

static void on_deferred(h2o_timeout_entry_t *entry)
{
	struct call *call = H2O_STRUCT_FROM_MEMBER(struct call, timeout, entry);

	finish_call(call, call->answer.result);
}

static void on_timeout(h2o_timeout_entry_t *entry)
{
	struct call *call = H2O_STRUCT_FROM_MEMBER(struct call, timeout, entry);

	h2o_http1client_cancel(call->client);
	finish_call(call, call->connected ? HTTPC_TIMEOUT : HTTPC_CONNECT_FAILED);
}

static int on_body(h2o_http1client_t *client, const char *errstr)
{
	struct call *call = client->data;
	h2o_buffer_t *input = client->sock->input;
	bool connection_lost = errstr && errstr != h2o_http1client_error_is_eos;

	if (!connection_lost && input->size) {
		h2o_iovec_t space = h2o_buffer_reserve(&call->body, input->size);

		memcpy(space.base, input->bytes, input->size);
		call->body->size += input->size;
		h2o_buffer_consume(&client->sock->input, input->size);
	}
	if (errstr)
		finish_call(call, connection_lost ? HTTPC_CONNECTION_LOST : HTTPC_OK);
	return 0;
}

static struct str lower_case(struct arena *a, struct str s)
{
	char *p = arena_alloc(a, s.len + 1);

	for (size_t i = 0; i < s.len; i++)
		p[i] = (char)tolower((unsigned char)s.ptr[i]);
	return (struct str){p, s.len};
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client, const char *errstr, int minor,
				       int status, h2o_iovec_t msg, h2o_header_t *headers,
				       size_t n_headers, int rlen)
{
	struct call *call = client->data;
	struct httpc_header *copy;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		finish_call(call, HTTPC_CONNECTION_LOST);
		return NULL;
	}
	copy = arena_alloc(&call->arena, sizeof(*copy) * (n_headers + 1));
	for (size_t i = 0; i < n_headers; i++) {
		copy[i].name = lower_case(
			&call->arena, (struct str){headers[i].name->base, headers[i].name->len});
		copy[i].value = arena_str(
			&call->arena, (struct str){headers[i].value.base, headers[i].value.len});
	}
	call->answer.status = status;
	call->answer.headers = copy;
	call->answer.n_headers = n_headers;
	if (errstr) {
		finish_call(call, HTTPC_OK);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client, const char *errstr,
					  h2o_iovec_t **bufs, size_t *n_bufs, int *method_is_head)
{
	struct call *call = client->data;

	if (errstr) {
		finish_call(call, HTTPC_CONNECT_FAILED);
		return NULL;
	}
	call->connected = true;
	*bufs = &call->request;
	*n_bufs = 1;
	*method_is_head = 0;
	return on_head;
}

/* Formats head and body into one buffer, so that they are sent in as few segments as possible. */
static h2o_iovec_t write_request(struct call *call, const struct httpc_request *req)
{
	char *text = NULL;
	size_t len = 0;
	FILE *out = open_memstream(&text, &len);
	struct str copy;

	if (!out)
		abort();
	fprintf(out, "%.*s %.*s HTTP/1.1\r\nhost: %s\r\n", STR_ARG(req->method), STR_ARG(req->path),
		call->c->address);
	for (size_t i = 0; i < req->n_headers; i++)
		fprintf(out, "%.*s: %.*s\r\n", STR_ARG(req->headers[i].name),
			STR_ARG(req->headers[i].value));
	if (req->body.len || !str_eq_cstr(req->method, "GET"))
		fprintf(out, "content-length: %zu\r\n", req->body.len);
	fputs("\r\n", out);
	if (req->body.len)
		fwrite(req->body.ptr, 1, req->body.len, out);
	fclose(out);
	copy = arena_str(&call->arena, (struct str){text, len});
	free(text);
	return h2o_iovec_init(copy.ptr, copy.len);
}

void httpc_send(struct httpc *c, const struct httpc_request *req, httpc_cb cb, void *data)
{
	struct arena arena = ARENA_INIT;
	struct call *call = arena_alloc(&arena, sizeof(*call));

	call->arena = arena;
	call->c = c;
	call->cb = cb;
	call->data = data;
	call->request = write_request(call, req);
	h2o_buffer_init(&call->body, &h2o_socket_buffer_prototype);
	call->timeout.cb = on_timeout;
	h2o_timeout_link(c->loop, &c->call_timeout, &call->timeout);
	call->sending = true;
	h2o_http1client_connect_with_pool(&call->client, call, &c->ctx, &c->pool, on_connect);
	call->sending = false;
}

static bool parse_address(const char *text, struct sockaddr_in *out, struct err *err)
{
	struct str port;
	struct str ip = str_split(str_from(text), ':', &port);
	char ip_text[INET_ADDRSTRLEN];
	uint64_t number;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (ip.len < sizeof(ip_text) && str_to_u64(port, UINT16_MAX, &number) && number) {
		memcpy(ip_text, ip.ptr, ip.len);
		ip_text[ip.len] = '\0';
		out->sin_port = htons((uint16_t)number);
		if (inet_pton(AF_INET, ip_text, &out->sin_addr) == 1)
			return true;
	}
	return err_set(err, ERR_INPUT, "bad address \"%.100s\": give ip:port, such as 127.0.0.1:80",
		       text);
}

struct httpc *httpc_create(h2o_loop_t *loop, const char *address, clk_ms timeout, struct err *err)
{
	struct sockaddr_in sin;
	struct httpc *c;

	if (!parse_address(address, &sin, err))
		return NULL;
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->loop = loop;
	c->address = strdup(address);
	h2o_socketpool_init_by_address(&c->pool, (struct sockaddr *)&sin, sizeof(sin), 0, SIZE_MAX);
	h2o_socketpool_set_timeout(&c->pool, loop, IDLE_CONNECTION_MS);
	h2o_timeout_init(loop, &c->io_timeout, (uint64_t)timeout * 2);
	h2o_timeout_init(loop, &c->call_timeout, (uint64_t)timeout);
	h2o_timeout_init(loop, &c->zero_timeout, 0);
	c->ctx.loop = loop;
	c->ctx.io_timeout = &c->io_timeout;
	return c;
}

void httpc_destroy(struct httpc *c)
{
	if (!c)
		return;
	h2o_socketpool_dispose(&c->pool);
	h2o_timeout_dispose(c->loop, &c->io_timeout);
	h2o_timeout_dispose(c->loop, &c->call_timeout);
	h2o_timeout_dispose(c->loop, &c->zero_timeout);
	free(c->address);
	free(c);
}

const char *httpc_address(const struct httpc *c)
{
	return c->address;
}

static void on_sync_answer(void *data, const struct httpc_answer *answer)
{
	struct sync_call *w = data;

	w->done = true;
	w->result = answer->result;
	w->status = answer->status;
	w->len = answer->body.len;
	w->body = calloc(1, w->len + 1);
	if (!w->body)
		abort();
	if (w->len)
		memcpy(w->body, answer->body.ptr, w->len);
}

bool httpc_wait(struct httpc *c, const struct httpc_request *req, char **body, size_t *len,
		struct err *err)
{
	struct sync_call w = {0};

	httpc_send(c, req, on_sync_answer, &w);
	while (!w.done)
		h2o_evloop_run(c->loop, MAX_LOOP_WAIT_MS);
	if (w.result == HTTPC_OK && (w.status == 200 || w.status == 201)) {
		*body = w.body;
		*len = w.len;
		return true;
	}
	if (w.result != HTTPC_OK)
		err_set(err, ERR_UNAVAILABLE, "%s: %s; check that it runs and can be reached",
			c->address, httpc_result_name(w.result));
	else
		err_set(err, w.status == 401 || w.status == 403 ? ERR_DENIED : ERR_IO,
			"%s answered %d: %.300s", c->address, w.status, w.body);
	free(w.body);
	return false;
}
