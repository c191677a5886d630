#include "base/ctr.h"

#include <inttypes.h>

/* Counters that were incremented at least once, newest first. */
static struct ctr *registered_list;

void ctr_add(struct ctr *c, uint64_t n)
{
	if (!c->registered) {
		c->registered = 1;
		c->next = registered_list;
		registered_list = c;
	}
	c->value += n;
}

void ctr_set(struct ctr *c, uint64_t value)
{
	ctr_add(c, 0);
	c->value = value;
}

void ctr_render(FILE *out)
{
	for (struct ctr *c = registered_list; c; c = c->next) {
		fprintf(out, "# HELP bamboocroft_%s %s\n", c->name, c->help);
		fprintf(out, "# TYPE bamboocroft_%s %s\n", c->name, c->gauge ? "gauge" : "counter");
		fprintf(out, "bamboocroft_%s %" PRIu64 "\n", c->name, c->value);
	}
}
