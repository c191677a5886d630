/* Hash table of rows, chained. A row without a document exists when only peers reported it. */
#include "version/doc.h"

#include <stdlib.h>
#include <string.h>

#define MIN_BUCKETS 16

struct report {
	uint64_t node;
	uint64_t version;
};

struct row {
	struct doc doc; /* version 0: not held */
	uint64_t hash;
	struct row *chain;
	struct report *reports;
	size_t n_reports;
	size_t cap_reports;
};

struct doc_set {
	struct row **buckets;
	size_t n_buckets; /* power of two */
	size_t n_rows;
	struct doc *first;
	struct doc *last;
};

static void *grow(void *old, size_t n, size_t size)
{
	void *p = realloc(old, n * size);

	if (!p)
		abort();
	return p;
}

static struct str copy(struct str s)
{
	char *p = grow(NULL, s.len + 1, 1);

	if (s.len)
		memcpy(p, s.ptr, s.len);
	p[s.len] = '\0';
	return (struct str){p, s.len};
}

static void release(struct str s)
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
	set->n_buckets = MIN_BUCKETS;
	set->buckets = new_buckets(set->n_buckets);
	return set;
}

static void row_free(struct row *r)
{
	release(r->doc.row);
	release(r->doc.body);
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
			next = r->chain;
			row_free(r);
		}
	}
	free(set->buckets);
	free(set);
}

static struct row *find(const struct doc_set *set, struct str name, uint64_t hash)
{
	struct row *r = set->buckets[hash & (set->n_buckets - 1)];

	while (r && !(r->hash == hash && str_eq(r->doc.row, name)))
		r = r->chain;
	return r;
}

static void insert(struct doc_set *set, struct row *r)
{
	struct row **bucket = &set->buckets[r->hash & (set->n_buckets - 1)];

	r->chain = *bucket;
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
			next = r->chain;
			insert(set, r);
		}
	}
	free(old);
}

static struct row *find_or_add(struct doc_set *set, struct str name)
{
	uint64_t hash = str_hash(name);
	struct row *r = find(set, name, hash);

	if (r)
		return r;
	if (set->n_rows >= set->n_buckets)
		double_buckets(set);
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->doc.row = copy(name);
	r->hash = hash;
	insert(set, r);
	set->n_rows++;
	return r;
}

bool doc_put(struct doc_set *set, struct str row, uint64_t version, struct str body)
{
	struct row *r;

	if (body.len > DOC_MAX_BYTES || version <= doc_version(set, row))
		return false;
	r = find_or_add(set, row);
	if (r->doc.version == 0) {
		if (set->last)
			set->last->next = &r->doc;
		else
			set->first = &r->doc;
		set->last = &r->doc;
	}
	/* `body` may point into the body that is replaced. */
	body = copy(body);
	release(r->doc.body);
	r->doc.body = body;
	r->doc.version = version;
	r->doc.from_store = false;
	return true;
}

void doc_mark_from_store(struct doc_set *set, struct str row, uint64_t version)
{
	struct row *r = find(set, row, str_hash(row));

	if (r && version && r->doc.version == version)
		r->doc.from_store = true;
}

const struct doc *doc_get(const struct doc_set *set, struct str row)
{
	const struct row *r = find(set, row, str_hash(row));

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

static struct report *find_report(const struct row *r, uint64_t node)
{
	for (size_t i = 0; i < r->n_reports; i++) {
		if (r->reports[i].node == node)
			return &r->reports[i];
	}
	return NULL;
}

void doc_set_peer_version(struct doc_set *set, uint64_t node, struct str row, uint64_t version)
{
	struct row *r = find_or_add(set, row);
	struct report *known = find_report(r, node);

	if (known) {
		if (version > known->version)
			known->version = version;
		return;
	}
	if (r->n_reports == r->cap_reports) {
		r->cap_reports = r->cap_reports ? r->cap_reports * 2 : 4;
		r->reports = grow(r->reports, r->cap_reports, sizeof(*r->reports));
	}
	r->reports[r->n_reports++] = (struct report){node, version};
}

size_t doc_count_holders(const struct doc_set *set, struct str row, uint64_t version,
			 const uint64_t *nodes, size_t n)
{
	const struct row *r = find(set, row, str_hash(row));
	size_t holders = 0;

	if (!r)
		return 0;
	for (size_t i = 0; i < n; i++) {
		const struct report *known = find_report(r, nodes[i]);

		holders += known && known->version >= version;
	}
	return holders;
}

void doc_remove_peer(struct doc_set *set, uint64_t node)
{
	for (size_t i = 0; i < set->n_buckets; i++) {
		for (struct row *r = set->buckets[i]; r; r = r->chain) {
			struct report *known = find_report(r, node);

			if (known)
				*known = r->reports[--r->n_reports];
		}
	}
}
