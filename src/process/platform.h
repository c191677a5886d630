/*
 * Interface that a platform's adapter implements: decoders of the platform's documents, the names
 * of its HTTP headers and paths, and the driver of its store. No other code depends on a platform.
 */
#ifndef PROCESS_PLATFORM_H
#define PROCESS_PLATFORM_H

#include "base/arena.h"
#include "base/err.h"
#include "connection/upconn.h"
#include "process/admit.h"
#include "process/fleet.h"
#include "process/gwset.h"
#include "process/meta.h"
#include "process/notice.h"
#include "version/topo.h"

/*
 * Names, in lower case, of the HTTP headers between callers, gateways and upstreams. The comments
 * describe the values of the headers.
 */
struct platform_headers {
	const char *request_id; /* id of the request, repeated in the upstream's answer */
	const char *time_left;	/* ms that the sender of the request still waits for an answer */
	const char *instance;	/* id of the upstream that answered */
	const char *expected;	/* id of the only upstream that may run the request */
	const char *signature;	/* proof that the upstream made the answer; only its presence is
				   checked */
	const char *not_run;	/* on answers of an upstream that did not run the request */
	const char *load;	/* the upstream's load report */
	const char *cold_left;	/* time for which the upstream stays cold */
	const char *key;	/* key of a request to a keyed service */
	const char *handover;	/* state that a former owner of keys passes to the next one */
	const char *credential; /* credential of the caller's client account */
	const char *account;	/* name of that account, set by gateways for upstreams */
};

/* Message to an upstream that grants, renews or ends its lease of a range of keys. */
struct platform_grant {
	uint32_t from;
	uint32_t to;	     /* inclusive */
	uint64_t fence;	     /* fencing token of the lease */
	clk_ms hold;	     /* duration of the lease, 0: the upstream has to release the keys */
	struct str handover; /* state from the former owner, may be empty */
};

/* `place`: the entry that has the member, empty for the configuration itself. */
typedef void (*platform_unread_cb)(void *data, struct str place, struct str name);

struct platform {
	const char *name;
	struct platform_headers headers;
	const char *ready_path;	  /* readiness check that the platform calls at a gateway */
	const char *grant_path;	  /* call to an upstream that grants or renews a lease of keys */
	const char *release_path; /* call to an upstream that releases keys */
	uint32_t key_space;	  /* number of keys; keys are 0 to key_space - 1 */
	const struct meta_driver *store;

	/*
	 * Reads and validates the settings file; sets `err` and returns false on failure. The
	 * caller frees `out` with gwset_free() in either case.
	 */
	bool (*settings)(const char *path, struct gwset *out, struct err *err);
	/* Whether the key of a row of META_CONFIG is that of the configuration. */
	bool (*is_config)(struct str key);
	/* Whether the key of a row of META_CONFIG is that of an evacuation, and of which domain. */
	bool (*is_evacuation)(struct str key, struct str *failure_domain);
	/* Parses a configuration; returns NULL and sets `err` if it is invalid. */
	struct topo *(*config)(struct str value, struct err *err);
	/* Calls `cb` with each member of a valid configuration that config() does not read. */
	void (*config_unread)(struct str value, platform_unread_cb cb, void *data);
	/*
	 * Parses the registration of an upstream; sets `err` and returns false if it is invalid.
	 * Strings of `out` live in `a`.
	 */
	bool (*registration)(struct arena *a, const struct meta_row *row, struct fleet_info *out,
			     struct err *err);
	/* Parses the value of the load header; returns false if it is invalid. */
	bool (*load)(struct str value, struct admit_report *out);
	/*
	 * Reads what an upstream says of itself in the headers of an answer; returns false if one
	 * of the values is invalid, which then counts as absent.
	 */
	bool (*notice)(const struct upconn_answer *a, struct notice *out);
	/* Returns the body of a call to `grant_path` or `release_path`. */
	struct str (*grant_body)(struct arena *a, const struct platform_grant *g);
};

#endif
