/*
 * Counts of requests by client account and outcome, for the metrics page. The number of accounts
 * that are listed by name is bounded; further ones are counted together.
 */
#ifndef ACCOUNTS_ACCOUNT_STATS_H
#define ACCOUNTS_ACCOUNT_STATS_H

#include <stdio.h>

#include "base/str.h"

#define ACCOUNT_STATS_MAX 256

struct account_stats;

struct account_stats *account_stats_create(void);
void account_stats_destroy(struct account_stats *s);
/* Counts a request of the account that is answered with this status; 0: its caller left. */
void account_stats_note(struct account_stats *s, struct str account, int status);
/* Writes the counts in the Prometheus text format; nothing if no account had a request. */
void account_stats_render(const struct account_stats *s, FILE *out);

#endif
