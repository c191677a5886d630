/* Tests of framing: split and joined input, limits, random and mutated input. */
#include "base/rnd.h"
#include "connection/frame.h"
#include "test/unit.h"

#define FUZZ_SEED 20261204
#define FUZZ_INPUTS 20000

/* Returns a packed frame; kinds 0 to 2 have nested or repeated messages, kind 3 has no body. */
static uint8_t *sample_frame(int kind, size_t *len)
{
	Bc__Frame f = BC__FRAME__INIT;
	Bc__Heartbeat hb = BC__HEARTBEAT__INIT;
	Bc__DocVersion v1 = BC__DOC_VERSION__INIT;
	Bc__DocVersion v2 = BC__DOC_VERSION__INIT;
	Bc__DocVersion *docs[] = {&v1, &v2};
	Bc__LeaseReply reply = BC__LEASE_REPLY__INIT;
	Bc__SlotInUse slot = BC__SLOT_IN_USE__INIT;
	Bc__SlotInUse *slots[] = {&slot};
	Bc__Relay relay = BC__RELAY__INIT;
	Bc__Header header = BC__HEADER__INIT;
	Bc__Header *headers[] = {&header};
	uint8_t body[300];

	f.sender = 0x1122334455667788;
	f.hlc = 77;
	v1.row = "config";
	v1.version = 12;
	v2.row = "cell/meseta";
	v2.version = 3;
	hb.n_docs = 2;
	hb.docs = docs;
	reply.service = "orders";
	reply.granted = 1;
	slot.slot = 9;
	reply.n_slots = 1;
	reply.slots = slots;
	memset(body, 0xa5, sizeof(body));
	relay.id = 5;
	relay.method = "POST";
	relay.path = "/orders/7";
	header.name = "x-key";
	header.value = "client-7";
	relay.n_headers = 1;
	relay.headers = headers;
	relay.body.data = body;
	relay.body.len = sizeof(body);
	switch (kind % 4) {
	case 0:
		f.body_case = BC__FRAME__BODY_HEARTBEAT;
		f.heartbeat = &hb;
		break;
	case 1:
		f.body_case = BC__FRAME__BODY_LEASE_REPLY;
		f.lease_reply = &reply;
		break;
	case 2:
		f.body_case = BC__FRAME__BODY_RELAY;
		f.relay = &relay;
		break;
	default:
		break;
	}
	return frame_pack(&f, len);
}

/* Guards against decoding or refusing a frame before all of its bytes have arrived. */
START_TEST(split_at_every_byte)
{
	for (int kind = 0; kind < 4; kind++) {
		size_t len;
		uint8_t *whole = sample_frame(kind, &len);

		for (size_t cut = 0; cut <= len; cut++) {
			/* Exactly `cut` bytes, so that the sanitizer detects reads past the end. */
			uint8_t *part = malloc(cut ? cut : 1);
			Bc__Frame *frame;
			size_t consumed;
			struct err err = {0};
			enum frame_status status;

			memcpy(part, whole, cut);
			status = frame_unpack(part, cut, &frame, &consumed, &err);
			if (cut < len) {
				ck_assert_int_eq(status, FRAME_INCOMPLETE);
				ck_assert_uint_eq(consumed, 0);
				ck_assert_ptr_null(frame);
			} else {
				ck_assert_int_eq(status, FRAME_COMPLETE);
				ck_assert_uint_eq(consumed, len);
				ck_assert(frame->sender == 0x1122334455667788 && frame->hlc == 77);
			}
			frame_free(frame);
			free(part);
		}
		free(whole);
	}
}
END_TEST

/* Guards against consuming bytes of the next frame, or too few of the first. */
START_TEST(two_frames_in_one_buffer)
{
	size_t len_a;
	size_t len_b;
	uint8_t *a = sample_frame(0, &len_a);
	uint8_t *b = sample_frame(2, &len_b);
	uint8_t *both = malloc(len_a + len_b);
	Bc__Frame *frame;
	size_t consumed;
	struct err err = {0};

	memcpy(both, a, len_a);
	memcpy(both + len_a, b, len_b);
	ck_assert_int_eq(frame_unpack(both, len_a + len_b, &frame, &consumed, &err),
			 FRAME_COMPLETE);
	ck_assert_uint_eq(consumed, len_a);
	ck_assert_int_eq(frame->body_case, BC__FRAME__BODY_HEARTBEAT);
	ck_assert_uint_eq(frame->heartbeat->n_docs, 2);
	ck_assert_str_eq(frame->heartbeat->docs[1]->row, "cell/meseta");
	frame_free(frame);
	ck_assert_int_eq(frame_unpack(both + consumed, len_b, &frame, &consumed, &err),
			 FRAME_COMPLETE);
	ck_assert_uint_eq(consumed, len_b);
	ck_assert_uint_eq(frame->relay->body.len, 300);
	ck_assert_int_eq(frame->relay->body.data[299], 0xa5);
	frame_free(frame);
	free(a);
	free(b);
	free(both);
}
END_TEST

/* Guards against buffering a frame that is too long: its header alone must make it malformed. */
START_TEST(length_over_the_limit_is_malformed)
{
	static const uint8_t over_limit_header[] = {0x02, 0x00, 0x00, 0x01};
	static const uint8_t limit_header[] = {0x02, 0x00, 0x00, 0x00};
	Bc__Frame *frame;
	size_t consumed;
	struct err err = {0};

	ck_assert_int_eq(frame_unpack(over_limit_header, 4, &frame, &consumed, &err),
			 FRAME_MALFORMED);
	ck_assert_str_eq(err.msg, "frame of 33554433 bytes is over the limit of 33554432; check "
				  "that the sender is a router of the same version");
	ck_assert_int_eq(frame_unpack(limit_header, 4, &frame, &consumed, &err), FRAME_INCOMPLETE);
}
END_TEST

/* Guards against accepting a frame of valid length whose bytes cannot be decoded. */
START_TEST(undecodable_body_is_malformed)
{
	static const uint8_t bad[] = {0, 0, 0, 3, 0xff, 0xff, 0xff};
	Bc__Frame *frame;
	size_t consumed;
	struct err err = {0};

	ck_assert_int_eq(frame_unpack(bad, sizeof(bad), &frame, &consumed, &err), FRAME_MALFORMED);
	ck_assert_ptr_null(frame);
	ck_assert_str_eq(err.msg, "frame of 3 bytes cannot be decoded; check that the sender is a "
				  "router of the same version");
}
END_TEST

/* Guards against sending a frame that is too long, which every receiver would refuse. */
START_TEST(pack_refuses_a_frame_over_the_limit)
{
	Bc__Frame f = BC__FRAME__INIT;
	Bc__Doc doc = BC__DOC__INIT;
	size_t len = 0;

	doc.body.len = FRAME_MAX_BYTES;
	doc.body.data = calloc(1, FRAME_MAX_BYTES);
	f.body_case = BC__FRAME__BODY_DOC;
	f.doc = &doc;
	ck_assert_ptr_null(frame_pack(&f, &len));
	free(doc.body.data);
}
END_TEST

/*
 * Guards against memory use many times the size of the input: 8 MiB of empty slot messages (2 bytes
 * each on the wire) would decode to more than 200 MiB.
 */
START_TEST(decoding_memory_is_limited)
{
	enum { N = 4 * 1024 * 1024, INNER = N * 2, BODY = 1 + 4 + INNER };
	uint8_t *buf = calloc(1, FRAME_HEADER_BYTES + BODY);
	uint8_t *p = buf + FRAME_HEADER_BYTES;
	Bc__Frame *frame;
	size_t consumed;
	struct err err = {0};

	buf[0] = (uint8_t)(BODY >> 24);
	buf[1] = (uint8_t)(BODY >> 16);
	buf[2] = (uint8_t)(BODY >> 8);
	buf[3] = (uint8_t)BODY;
	*p++ = 13 << 3 | 2; /* lease_reply */
	*p++ = (INNER & 0x7f) | 0x80;
	*p++ = (INNER >> 7 & 0x7f) | 0x80;
	*p++ = (INNER >> 14 & 0x7f) | 0x80;
	*p++ = INNER >> 21;
	for (size_t i = 0; i < N; i++) {
		*p++ = 8 << 3 | 2; /* an empty slot message */
		*p++ = 0;
	}
	ck_assert_int_eq(frame_unpack(buf, FRAME_HEADER_BYTES + BODY, &frame, &consumed, &err),
			 FRAME_MALFORMED);
	free(buf);
}
END_TEST

/*
 * Returns input `i` of the fuzz run: random bytes, or a sample frame with some bytes changed,
 * truncated or with a matching length field.
 */
static uint8_t *fuzz_input(struct rnd *r, int i, size_t *len)
{
	uint8_t *buf;

	if (i % 4 == 0) {
		*len = rnd_below(r, 200);
		buf = malloc(*len ? *len : 1);
		for (size_t k = 0; k < *len; k++)
			buf[k] = (uint8_t)rnd_u64(r);
		/* Sets the matching length: otherwise most inputs would only be incomplete. */
		if (*len >= 4 && i % 8 == 0) {
			memset(buf, 0, 3);
			buf[3] = (uint8_t)(*len - 4);
		}
		return buf;
	}
	buf = sample_frame((int)rnd_below(r, 4), len);
	for (uint64_t n = 1 + rnd_below(r, 6); n; n--)
		buf[rnd_below(r, *len)] = (uint8_t)rnd_u64(r);
	if (i % 3 == 0)
		*len = rnd_below(r, *len + 1);
	if (i % 5 == 0 && *len >= 4) {
		memset(buf, 0, 2);
		buf[2] = (uint8_t)((*len - 4) >> 8);
		buf[3] = (uint8_t)(*len - 4);
	}
	/* Exactly `*len` bytes, so that the sanitizer detects reads past the end. */
	return realloc(buf, *len ? *len : 1);
}

/* Guards against crashes, leaks, hangs and frames that consume more bytes than there are. */
START_TEST(random_and_mutated_input)
{
	struct rnd r;
	int complete = 0;
	int malformed = 0;

	rnd_seed(&r, FUZZ_SEED);
	for (int i = 0; i < FUZZ_INPUTS; i++) {
		size_t len;
		uint8_t *buf = fuzz_input(&r, i, &len);
		Bc__Frame *frame;
		size_t consumed;
		struct err err = {0};
		enum frame_status status = frame_unpack(buf, len, &frame, &consumed, &err);

		if (status == FRAME_COMPLETE) {
			size_t again_len;
			uint8_t *again = frame_pack(frame, &again_len);

			complete++;
			ck_assert(consumed >= FRAME_HEADER_BYTES && consumed <= len);
			ck_assert_ptr_nonnull(again);
			free(again);
		} else {
			ck_assert_ptr_null(frame);
			ck_assert_uint_eq(consumed, 0);
			malformed += status == FRAME_MALFORMED;
			ck_assert_int_eq(status == FRAME_MALFORMED, err.kind == ERR_INPUT);
		}
		frame_free(frame);
		free(buf);
	}
	/* The run tests something only if both results are frequent. */
	ck_assert_int_gt(complete, FUZZ_INPUTS / 20);
	ck_assert_int_gt(malformed, FUZZ_INPUTS / 20);
}
END_TEST

static void add_tests(TCase *tc)
{
	tcase_add_test(tc, split_at_every_byte);
	tcase_add_test(tc, two_frames_in_one_buffer);
	tcase_add_test(tc, length_over_the_limit_is_malformed);
	tcase_add_test(tc, undecodable_body_is_malformed);
	tcase_add_test(tc, pack_refuses_a_frame_over_the_limit);
	tcase_add_test(tc, decoding_memory_is_limited);
	tcase_add_test(tc, random_and_mutated_input);
}

int main(int argc, char **argv)
{
	return unit_main(argc, argv, "frame", UNIT_NO_MUTANTS, add_tests);
}
