/*
 * Links to other regions: records their answer times and refuses large request bodies while a link
 * is congested.
 */
#include "process/gateway_priv.h"

#include <stdio.h>
#include <string.h>

#include "base/ctr.h"
#include "base/log.h"

static const struct log log = {"links"};
CTR(ctr_refused, "link_refused_total", "Large requests refused because a link was full.");

/* Returns the link to a region; NULL if GATEWAY_MAX_LINKS other regions have one already. */
static struct link *find_or_add_link(struct gateway *g, const char *region, clk_ms now)
{
	struct gateway_link *l;

	for (size_t i = 0; i < g->n_links; i++) {
		if (strcmp(g->links[i].region, region) == 0)
			return &g->links[i].link;
	}
	if (g->n_links == GATEWAY_MAX_LINKS)
		return NULL;
	l = &g->links[g->n_links++];
	snprintf(l->region, sizeof(l->region), "%s", region);
	link_init(&l->link, now);
	return &l->link;
}

void gateway_note_answer_time(void *gateway, uint64_t node, clk_ms ms)
{
	struct gateway *g = gateway;
	clk_ms now = clk_now();
	const struct gateway_peer *p = gateway_find_peer(g, node);
	struct link *l =
		p && !gateway_in_same_region(g, p) ? find_or_add_link(g, p->region, now) : NULL;

	if (l)
		link_record_answer(l, now, ms);
}

bool gateway_may_cross_link(void *gateway, const struct topo_service *service, uint32_t key,
			    struct str region, size_t bytes)
{
	struct gateway *g = gateway;
	clk_ms now = clk_now();
	char name[FLEET_NAME_BYTES];
	struct link *l;

	if (bytes < LINK_BULK_BYTES)
		return true; /* most requests: saves the lookup of the owner */
	snprintf(name, sizeof(name), "%.*s", STR_ARG(service->name));
	if (service->keyed)
		region = gateway_region_of(g, gateway_owner(g, name, key));
	if (!region.len || str_eq(region, g->settings.region))
		return true;
	snprintf(name, sizeof(name), "%.*s", STR_ARG(region));
	l = find_or_add_link(g, name, now);
	if (!l || link_admits(l, now, bytes))
		return true;
	ctr_inc(&ctr_refused);
	log_info(&log, "link to %s is congested: %lld ms delay, body of %zu bytes refused", name,
		 (long long)link_delay(l, now), bytes);
	return false;
}
