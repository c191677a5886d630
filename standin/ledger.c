#include "standin/ledger.h"

#include <stdlib.h>

#define FIRST_CAPACITY 1024

static void write_entry(const struct ledger *l, size_t number, FILE *out)
{
	const struct ledger_entry *e = &l->entries[number];
	json_t *line = json_pack(
		"{s:s,s:s,s:s,s:I,s:O,s:O,s:o,s:b,s:I,s:I,s:I,s:I,s:s}", "upstream", l->upstream,
		"service", l->service, "start_id", l->start_id, "seq", (json_int_t)number,
		"request_id", e->request_id, "key", e->key, "partition",
		e->has_partition ? json_integer((json_int_t)e->partition) : json_null(), "hot",
		e->hot, "epoch", (json_int_t)e->epoch, "fence", (json_int_t)e->fence, "start",
		(json_int_t)e->start, "end", (json_int_t)e->end, "result", e->result);

	json_dumpf(line, out, JSON_COMPACT);
	fputc('\n', out);
	json_decref(line);
}

size_t ledger_start(struct ledger *l, const struct ledger_entry *entry)
{
	if (l->n == l->capacity) {
		l->capacity = l->capacity ? 2 * l->capacity : FIRST_CAPACITY;
		l->entries = realloc(l->entries, l->capacity * sizeof(*l->entries));
		if (!l->entries)
			abort();
	}
	l->entries[l->n] = *entry;
	l->entries[l->n].start = clk_utc();
	l->entries[l->n].end = 0;
	l->entries[l->n].result = "running";
	if (l->file) {
		write_entry(l, l->n, l->file);
		fflush(l->file);
	}
	return l->n++;
}

void ledger_end(struct ledger *l, size_t number, const char *result)
{
	l->entries[number].end = clk_utc();
	l->entries[number].result = result;
	if (l->file) {
		write_entry(l, number, l->file);
		fflush(l->file);
	}
}

void ledger_write(const struct ledger *l, FILE *out)
{
	for (size_t i = 0; i < l->n; i++)
		write_entry(l, i, out);
}
