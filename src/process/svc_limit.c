/*
 * Slot limits of upstreams across a change of broker. The broker announces each change of a limit
 * to the members, and a new broker uses the lowest limit that the members report. Without this
 * every upstream would start cold again whenever a router is replaced.
 */
#include "process/svc.h"

#define MAX_LOADS 4096

static void announce(struct svc *s, struct svc_upstream *u, uint32_t limit)
{
	Bc__Frame frame = BC__FRAME__INIT;
	Bc__Record rec = BC__RECORD__INIT;

	u->announced_limit = limit;
	u->announced_start_id = u->health.start_id;
	rec.service = s->name;
	rec.kind = BC__RECORD__KIND__LIMIT;
	rec.hash = u->num;
	rec.state = limit;
	rec.start_id = u->announced_start_id;
	frame.body_case = BC__FRAME__BODY_RECORD;
	frame.record = &rec;
	node_broadcast(s->node, &frame);
}

void svc_announce_limits(struct svc *s)
{
	static struct broker_load loads[MAX_LOADS];
	size_t n;

	if (!s->broker)
		return;
	n = broker_loads(s->broker, loads, MAX_LOADS);
	for (size_t i = 0; i < n && i < MAX_LOADS; i++) {
		struct svc_upstream *u = svc_upstream(s, loads[i].num);

		if (u && (loads[i].limit != u->announced_limit ||
			  u->announced_start_id != u->health.start_id))
			announce(s, u, loads[i].limit);
	}
}

void svc_limit_on_record(struct svc *s, const Bc__Record *rec)
{
	struct svc_upstream *u = svc_upstream(s, (uint32_t)rec->hash);

	if (!u)
		return;
	u->announced_limit = rec->state;
	u->announced_start_id = rec->start_id;
}

void svc_limit_on_report(struct svc *s, const Bc__Record *rec)
{
	struct svc_upstream *u = svc_upstream(s, (uint32_t)rec->hash);

	if (!u)
		return;
	if (rec->state < u->reported_limit)
		u->reported_limit = rec->state;
	/* Limits for different start ids: it is unknown which process of the upstream runs now. */
	if (u->announced_start_id && rec->start_id != u->announced_start_id)
		u->reported_limit = 0;
}

bool svc_limit_is_warm(const struct svc_upstream *u)
{
	uint32_t limit =
		u->announced_limit < u->reported_limit ? u->announced_limit : u->reported_limit;

	return u->conf && u->announced_start_id && limit >= u->conf->slots;
}

void svc_limit_clear_reports(struct svc *s)
{
	for (struct svc_upstream *u = s->upstreams; u; u = u->next)
		u->reported_limit = UINT32_MAX;
}
