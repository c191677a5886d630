/*
 * Cost of client accounts: the check of a credential, the gateway's and the holder's part of an
 * allowance, and how many asks a gateway sends at 30, 100 and 300 gateways.
 * Usage: bench_accounts
 */
#include <stdio.h>
#include <stdlib.h>

#include "accounts/account.h"
#include "base/rnd.h"
#include "shared/holder.h"
#include "shared/share.h"

#define LOOKUPS 2000000
#define RATE 373.0
#define USUAL_PART 0.625 /* of the rate */
#define STEP_MS 5
#define SECONDS 20

static double elapsed_us(struct timespec from)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - from.tv_sec) * 1e6 +
	       (double)(now.tv_nsec - from.tv_nsec) / 1e3;
}

static struct timespec start(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t;
}

static void bench_check(size_t n)
{
	struct topo *t = topo_create();
	struct topo_account *accounts = arena_alloc(&t->arena, n * sizeof(*accounts));
	struct str *credentials = arena_alloc(&t->arena, n * sizeof(*credentials));
	const struct topo_route route = {0};
	struct err err = {0};
	struct timespec from;
	size_t allowed = 0;

	for (size_t i = 0; i < n; i++) {
		credentials[i] = arena_printf(&t->arena, "credential-%08zx", i * 2654435761u);
		accounts[i] = (struct topo_account){.name = arena_printf(&t->arena, "a%zu", i),
						    .credentials = &credentials[i],
						    .n_credentials = 1};
	}
	t->has_accounts = true;
	t->accounts = accounts;
	t->n_accounts = n;
	if (!account_index(t, &err))
		abort();
	from = start();
	for (size_t i = 0; i < LOOKUPS; i++)
		allowed += account_check(t, &route, &credentials[i * 7919 % n], 1).outcome ==
			   ACCOUNT_ALLOWED;
	printf("check of a credential, %zu accounts: %.3f us (%zu allowed)\n", n,
	       elapsed_us(from) / LOOKUPS, allowed);
	topo_destroy(t);
}

/* One account over `n` gateways at its usual demand, without faults; its holder answers at once. */
static void bench_limit(size_t n)
{
	const struct limit_bound bound = {5000, 0.1, 20};
	const struct limit_size size = {RATE, RATE};
	struct share *shares = calloc(n, sizeof(*shares));
	struct holder *h = holder_create(&bound);
	struct rnd rnd;
	double take_us = 0;
	double ask_us = 0;
	size_t taken = 0;
	size_t refused = 0;
	size_t asks = 0;

	if (!shares)
		abort();
	rnd_seed(&rnd, n);
	for (size_t i = 0; i < n; i++)
		share_init(&shares[i], &size, 0);
	holder_set_gateways(h, (uint32_t)n, 0);
	holder_tick(h, 1);
	holder_begin(h, 1, &size, 1);
	for (clk_ms now = 2000; now < 2000 + SECONDS * 1000; now += STEP_MS) {
		holder_tick(h, now);
		for (size_t i = 0; i < n; i++) {
			struct share *s = &shares[i];
			bool arrives =
				rnd_unit(&rnd) < RATE * USUAL_PART * STEP_MS / 1000.0 / (double)n;
			bool waits = false;
			struct timespec from = start();

			if (arrives) {
				waits = share_take(s, now) != SHARE_GRANTED;
				taken++;
				take_us += elapsed_us(from);
				if (!waits)
					share_spent(s);
			}
			from = start();
			if (share_should_ask(s, now, waits)) {
				struct limit_ask ask;
				struct limit_lease lease;

				share_begin_ask(s, now, waits, &ask);
				holder_ask(h, 1, &size, i + 1, &ask, now, &lease);
				share_on_lease(s, now, s->ask, &lease);
				if (waits && share_take_waiting(s, now))
					share_spent(s);
				else if (waits)
					refused++;
				asks++;
				ask_us += elapsed_us(from);
			}
		}
	}
	printf("allowance of one account, %zu gateways, %.0f of %.0f requests a second: "
	       "%.3f us a request, %.3f us an ask with its answer, %.2f asks a second and gateway, "
	       "%zu of %zu refused\n",
	       n, RATE * USUAL_PART, RATE, take_us / (double)taken, ask_us / (double)asks,
	       (double)asks / SECONDS / (double)n, refused, taken);
	holder_destroy(h);
	free(shares);
}

int main(void)
{
	static const size_t accounts[] = {85, 1000, 10000};
	static const size_t gateways[] = {30, 100, 300};

	for (size_t i = 0; i < 3; i++)
		bench_check(accounts[i]);
	for (size_t i = 0; i < 3; i++)
		bench_limit(gateways[i]);
	return 0;
}
