/*
 * Votes of gateways about the role of shard manager of a service. The row of the role names an
 * electorate. A shard manager that the store does not answer acts only while most of its electorate
 * supports its term; a successor takes leases of the former shard manager as ended, and moves keys,
 * only after most of the same electorate consents to the higher term. Any two majorities share a
 * gateway, and a process that follows a term supports no lower one.
 *
 * A process that restarts forgets which terms it followed. So only processes count as supporters
 * that were heard before the store last confirmed the role: they started before any higher term
 * was written.
 *
 * The module does no I/O.
 */
#ifndef PROCESS_VOTERS_H
#define PROCESS_VOTERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "base/clk.h"
#include "base/str.h"

/* Most gateways of an electorate: twelve hubs (HUBS_MIN) in each of eight regions. */
#define ELECTORATE_MAX 96
/* Size of the buffer for an electorate as text, with its terminating NUL. */
#define ELECTORATE_TEXT_BYTES (ELECTORATE_MAX * 17)

/* Gateways whose majority decides; sorted. */
struct electorate {
	uint64_t ids[ELECTORATE_MAX]; /* hashes of their names, the same over restarts */
	size_t n;
};

/* Adds a gateway; returns false if there is no room. */
bool electorate_add(struct electorate *e, uint64_t id);
bool electorate_equal(const struct electorate *a, const struct electorate *b);
/* Returns the gateways as hexadecimal numbers with commas in between, written to `buf`. */
struct str electorate_write(const struct electorate *e, char buf[ELECTORATE_TEXT_BYTES]);
/* Reads such a text; returns false, with an empty electorate, if it is invalid. */
bool electorate_read(struct electorate *e, struct str text);

/* What a gateway said of the role last. */
struct voter {
	uint64_t id;	     /* hash of its name */
	uint64_t node;	     /* its present process */
	clk_ms node_since;   /* when that process was heard first */
	uint64_t counted;    /* process that counts as a supporter, 0: none */
	uint64_t follows;    /* highest term that the present process knows */
	uint64_t before;     /* highest term that it followed before that one */
	uint64_t counted_in; /* highest term whose shard manager counted that process */
	/* When the heartbeat was sent from here that the last one with `follows` answered. */
	clk_ms asked_at;
	UT_hash_handle hh;
};

/* Gateways other than this one. */
struct voters {
	struct voter *list;
};

void voters_clear(struct voters *v);
/* Records that process `node` of gateway `id` is connected. */
void voters_connected(struct voters *v, uint64_t id, uint64_t node, clk_ms now);
/* What a gateway says of the role. */
struct vote {
	uint64_t id;	     /* of the gateway */
	uint64_t node;	     /* its process */
	uint64_t follows;    /* highest term that it knows */
	uint64_t before;     /* highest term that it followed before */
	uint64_t counted_in; /* highest term whose shard manager counted its process */
	clk_ms asked_at;     /* when the heartbeat was sent that this answers */
};

void voters_heard(struct voters *v, const struct vote *vote, clk_ms now);
/* The store confirmed the role at `sent` or later. */
void voters_role_confirmed(struct voters *v, clk_ms sent);
/*
 * Whether most of the electorate supports the term, asked at `since` or later. Gateway `self` has
 * the role.
 */
bool voters_support(const struct voters *v, const struct electorate *e, uint64_t self,
		    uint64_t term, clk_ms since);
/* Whether a process counts as a supporter. */
bool voters_counts(const struct voters *v, uint64_t id, uint64_t node);
/*
 * Whether half of the electorate or more follows the term of gateway `self`, and so supports no
 * lower one: fewer are left than the support of another takes.
 */
bool voters_consent(const struct voters *v, const struct electorate *e, uint64_t self,
		    uint64_t term);

/* What else is known of the shard manager in term `last`, and of this gateway. */
struct last_term {
	uint64_t last;
	uint64_t manager;    /* the gateway that had the role if it has ended in it, else 0 */
	uint64_t counted_in; /* highest term whose shard manager counted this process */
};

/*
 * Whether most of the electorate consents to the term of gateway `self`, and followed no term above
 * the last one before, by processes that its shard manager counted: they would remember.
 */
bool voters_knew_none_above(const struct voters *v, const struct electorate *e, uint64_t self,
			    uint64_t term, const struct last_term *known);

#endif
