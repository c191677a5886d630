#include "shared/share.h"

#include <math.h>

#include "base/mutant.h"

/* Time constants of the moving averages of demand and of given tokens. */
#define DEMAND_AVERAGE_MS 1500.0
/* Shortest time between two asks without need. */
#define ASK_MIN_MS 200
/* An ask without an answer for this long is repeated; its late answer is not used. */
#define ASK_TIMEOUT_MS 300
/* An empty bucket is not asked again for requests that wait, within this time. */
#define SCARCE_MS 200
/* Demand below which a gateway counts as idle: one request was about 4 s ago. */
#define IDLE_DEMAND 0.02
/* A gateway gives back what it has above its target and this. */
#define KEPT_TOKENS 0.5
/* Most tokens that are spent ahead. */
#define MAX_DEBT 10.0
/* Bounds of Retry-After. */
#define RETRY_AFTER_MIN_MS 200.0
#define RETRY_AFTER_MAX_MS 5000.0
/* Least part of the rate that Retry-After assumes, in requests per second. */
#define MIN_RETRY_RATE 0.2

void share_init(struct share *s, const struct limit_size *size, clk_ms now)
{
	*s = (struct share){.size = *size,
			    .demand_at = now,
			    .given_at = now,
			    .heard = now,
			    .spare_at = now + LIMIT_SILENCE_MS};
}

void share_resize(struct share *s, const struct limit_size *size)
{
	double former = s->size.rate + s->size.burst;
	double part = former > 0 ? (size->rate + size->burst) / former : 1;

	s->size = *size;
	if (part >= 1 || MUTANT(share_keep_former))
		return;
	if (s->tokens > 0)
		s->tokens *= part;
	s->fallback *= part;
}

/* Updates a moving average of events per second by `n` events at once. */
static void add_events(double *average, clk_ms *at, clk_ms now, double n)
{
	*average = *average * exp(-(double)(now - *at) / DEMAND_AVERAGE_MS) +
		   n * 1000.0 / DEMAND_AVERAGE_MS;
	*at = now;
}

/* Returns the rate at which the gateway may spend while no holder answers. */
static double spare_rate(const struct share *s, clk_ms now)
{
	double alone = s->gateways ? s->size.rate * LIMIT_STRANGER_PART / s->gateways : 0;

	if (MUTANT(share_spare_all))
		return s->size.rate;
	return now < s->fallback_until ? s->fallback : alone;
}

static void refresh(struct share *s, clk_ms now)
{
	double rate = spare_rate(s, now);
	double most = fmax(1, rate);

	if (now >= s->expires && s->tokens > 0 && !MUTANT(share_keep_expired))
		s->tokens = 0;
	if (now <= s->spare_at)
		return;
	s->spare = fmin(s->spare + rate * (double)(now - s->spare_at) / 1000.0, most);
	s->spare_at = now;
}

bool share_take_waiting(struct share *s, clk_ms now)
{
	refresh(s, now);
	if (s->tokens >= 1)
		s->tokens -= 1;
	else if (s->spare >= 1)
		s->spare -= 1;
	else
		return false;
	s->held++;
	return true;
}

enum share_result share_take(struct share *s, clk_ms now)
{
	add_events(&s->demand, &s->demand_at, now, 1);
	if (share_take_waiting(s, now))
		return SHARE_GRANTED;
	if (MUTANT(share_no_limit)) {
		s->held++;
		return SHARE_GRANTED;
	}
	return s->scarce && now - s->asked < SCARCE_MS ? SHARE_REFUSED : SHARE_WAIT;
}

void share_charge(struct share *s, clk_ms now)
{
	refresh(s, now);
	if (!MUTANT(share_repeat_free))
		s->tokens = fmax(s->tokens - 1, -MAX_DEBT);
}

void share_spent(struct share *s)
{
	if (s->held)
		s->held--;
}

void share_return(struct share *s, clk_ms now)
{
	refresh(s, now);
	share_spent(s);
	if (now < s->expires)
		s->tokens += 1;
}

clk_ms share_retry_after(struct share *s, clk_ms now)
{
	double rate;

	add_events(&s->given, &s->given_at, now, 0);
	rate = fmax(fmax(s->given, spare_rate(s, now)), MIN_RETRY_RATE);
	s->next_free = fmax(s->next_free, (double)now) + 1000.0 / rate;
	s->next_free = fmin(s->next_free, (double)now + RETRY_AFTER_MAX_MS);
	return (clk_ms)fmax(s->next_free - (double)now, RETRY_AFTER_MIN_MS);
}

bool share_is_idle(struct share *s, clk_ms now)
{
	add_events(&s->demand, &s->demand_at, now, 0);
	return s->demand < IDLE_DEMAND;
}

bool share_should_ask(struct share *s, clk_ms now, bool waiting)
{
	clk_ms since = now - s->asked;

	if (s->asking && since < ASK_TIMEOUT_MS)
		return false;
	refresh(s, now);
	if (share_is_idle(s, now) && !waiting)
		return false;
	if (waiting && !(s->scarce && since < SCARCE_MS))
		return true;
	return since >= LIMIT_ASK_MAX_MS ||
	       (since >= ASK_MIN_MS && s->tokens < limit_target(s->demand) / 2);
}

void share_begin_ask(struct share *s, clk_ms now, uint32_t waiting, struct limit_ask *out)
{
	bool idle = share_is_idle(s, now);

	refresh(s, now);
	s->ask++;
	s->asking = true;
	s->asked = now;
	/* A gateway with less demand than before gives tokens back. */
	if (!waiting)
		s->tokens = fmin(s->tokens, idle ? 0 : limit_target(s->demand) + KEPT_TOKENS);
	s->need = waiting + fmax(-s->tokens, 0);
	*out = (struct limit_ask){
		.tokens = fmax(s->tokens, 0),
		.held = MUTANT(share_forget_held) ? 0 : s->held,
		.demand = idle ? 0 : s->demand,
		.fallback = now < s->fallback_until ? s->fallback : 0,
		.need = s->need,
	};
}

bool share_on_lease(struct share *s, clk_ms now, uint32_t ask, const struct limit_lease *lease)
{
	if (ask != s->ask || !s->asking ||
	    (now - s->asked >= ASK_TIMEOUT_MS && !MUTANT(share_take_late)))
		return false;
	refresh(s, now);
	s->asking = false;
	s->heard = s->asked;
	s->tokens += lease->tokens;
	s->need -= lease->tokens;
	s->expires = s->asked + LIMIT_LEASE_MS;
	s->scarce = lease->scarce;
	s->fallback = lease->fallback;
	s->fallback_until = s->asked + LIMIT_FALLBACK_MS;
	s->spare = 0;
	s->spare_at = s->heard + LIMIT_SILENCE_MS;
	add_events(&s->given, &s->given_at, now, lease->tokens);
	return true;
}

bool share_got_needed(const struct share *s)
{
	return !s->asking && s->need <= 0;
}

void share_ask_failed(struct share *s, uint32_t ask)
{
	if (ask == s->ask)
		s->asking = false;
}
