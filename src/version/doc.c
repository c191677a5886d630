/*
 * Chained hash table of rows. A row that only peers reported is in the table with version 0, but
 * not in the list of held documents.
 */
#include "version/doc.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_BUCKETS 16

/* The highest version of a row that a node reported. */
struct peer_report {
	uint64_t node;
	uint64_t version;
};

struct row {
	struct doc doc; /* version 0: not held by this process */
	uint64_t hash;
	struct row *next_in_bucket;
	struct peer_report *reports;
	size_t n_reports;
	size_t cap_reports;
};

struct doc_set {
	struct row **buckets;
	size_t n_buckets; /* power of two */
	size_t n_rows;
	struct doc *first; /* list of held documents */
	struct doc *last;
};

/* Like realloc() for `n` elements of `size` bytes, but aborts when out of memory. */
static void *resize_array(void *old, size_t n, size_t size)
{
	void *p = realloc(old, n * size);

	if (!p)
		abort();
	return p;
}

static struct str copy_str(struct str s)
{
	char *p = resize_array(NULL, s.len + 1, 1);

	if (s.len)
		memcpy(p, s.ptr, s.len);
	p[s.len] = '\0';
	return (struct str){p, s.len};
}

static void free_str(struct str s)
{
	free((void *)(uintptr_t)s.ptr);
}

static struct row **new_buckets(size_t n)
{
	struct row **buckets = calloc(n, sizeof(*buckets));

	if (!buckets)
		abort();
	return buckets;
}

struct doc_set *doc_set_create(void)
{
	struct doc_set *set = calloc(1, sizeof(*set));

	if (!set)
		abort();
	set->n_buckets = INITIAL_BUCKETS;
	set->buckets = new_buckets(set->n_buckets);
	return set;
}

static void row_free(struct row *r)
{
	free_str(r->doc.row);
	free_str(r->doc.body);
	free(r->reports);
	free(r);
}

void doc_set_destroy(struct doc_set *set)
{
	if (!set)
		return;
	for (size_t i = 0; i < set->n_buckets; i++) {
		struct row *next;

		for (struct row *r = set->buckets[i]; r; r = next) {
			next = r->next_in_bucket;
			row_free(r);
		}
	}
	free(set->buckets);
	free(set);
}

static struct row *find_row(const struct doc_set *set, struct str name, uint64_t hash)
{
	struct row *r = set->buckets[hash & (set->n_buckets - 1)];

	while (r && !(r->hash == hash && str_eq(r->doc.row, name)))
		r = r->next_in_bucket;
	return r;
}

static void insert_row(struct doc_set *set, struct row *r)
{
	struct row **bucket = &set->buckets[r->hash & (set->n_buckets - 1)];

	r->next_in_bucket = *bucket;
	*bucket = r;
}

static void double_buckets(struct doc_set *set)
{
	struct row **old = set->buckets;
	size_t n_old = set->n_buckets;

	set->n_buckets *= 2;
	set->buckets = new_buckets(set->n_buckets);
	for (size_t i = 0; i < n_old; i++) {
		struct row *next;

		for (struct row *r = old[i]; r; r = next) {
			next = r->next_in_bucket;
			insert_row(set, r);
		}
	}
	free(old);
}

static struct row *find_or_add_row(struct doc_set *set, struct str name)
{
	uint64_t hash = str_hash(name);
	struct row *r = find_row(set, name, hash);

	if (r)
		return r;
	if (set->n_rows >= set->n_buckets)
		double_buckets(set);
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->doc.row = copy_str(name);
	r->hash = hash;
	insert_row(set, r);
	set->n_rows++;
	return r;
}

bool doc_put(struct doc_set *set, struct str row, uint64_t version, struct str body)
{
	struct row *r;

	if (body.len > DOC_MAX_BYTES || version <= doc_version(set, row))
		return false;
	r = find_or_add_row(set, row);
	if (r->doc.version == 0) {
		if (set->last)
			set->last->next = &r->doc;
		else
			set->first = &r->doc;
		set->last = &r->doc;
	}
	/* Copied before the old body is freed, since `body` may point into it. */
	body = copy_str(body);
	free_str(r->doc.body);
	r->doc.body = body;
	r->doc.version = version;
	r->doc.from_store = false;
	return true;
}

void doc_mark_from_store(struct doc_set *set, struct str row, uint64_t version)
{
	struct row *r = find_row(set, row, str_hash(row));

	if (r && version && r->doc.version == version)
		r->doc.from_store = true;
}

const struct doc *doc_get(const struct doc_set *set, struct str row)
{
	const struct row *r = find_row(set, row, str_hash(row));

	return r && r->doc.version ? &r->doc : NULL;
}

uint64_t doc_version(const struct doc_set *set, struct str row)
{
	const struct doc *d = doc_get(set, row);

	return d ? d->version : 0;
}

const struct doc *doc_first(const struct doc_set *set)
{
	return set->first;
}

static struct peer_report *find_peer_report(const struct row *r, uint64_t node)
{
	for (size_t i = 0; i < r->n_reports; i++) {
		if (r->reports[i].node == node)
			return &r->reports[i];
	}
	return NULL;
}

void doc_set_peer_version(struct doc_set *set, uint64_t node, struct str row, uint64_t version)
{
	struct row *r = find_or_add_row(set, row);
	struct peer_report *known = find_peer_report(r, node);

	if (known) {
		if (version > known->version)
			known->version = version;
		return;
	}
	if (r->n_reports == r->cap_reports) {
		r->cap_reports = r->cap_reports ? r->cap_reports * 2 : 4;
		r->reports = resize_array(r->reports, r->cap_reports, sizeof(*r->reports));
	}
	r->reports[r->n_reports++] = (struct peer_report){node, version};
}

size_t doc_count_holders(const struct doc_set *set, struct str row, uint64_t version,
			 const uint64_t *nodes, size_t n)
{
	const struct row *r = find_row(set, row, str_hash(row));
	size_t holders = 0;

	if (!r)
		return 0;
	for (size_t i = 0; i < n; i++) {
		const struct peer_report *known = find_peer_report(r, nodes[i]);

		holders += known && known->version >= version;
	}
	return holders;
}

void doc_remove_peer(struct doc_set *set, uint64_t node)
{
	for (size_t i = 0; i < set->n_buckets; i++) {
		for (struct row *r = set->buckets[i]; r; r = r->next_in_bucket) {
			struct peer_report *known = find_peer_report(r, node);

			if (known)
				*known = r->reports[--r->n_reports];
		}
	}
}
