#include "directory.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Entries are kept for this long after they are gone, since their agents may
 * still hold flows. */
#define GONE_RETENTION_MS 70000
/* An entry that is removed up to this long after the end of an outage of the
 * store may have expired because of the outage. */
#define RECOVERY_WINDOW_MS 2000

struct directory {
	GHashTable *by_id; /* id -> target_entry_t */
	list_t entries;
	directory_ops_t ops;
	void *ctx;
	uint64_t last_failure_ms; /* last failed request; 0: none */
	uint64_t recovered_ms;	  /* first answer after that; 0: none yet */
};

static void set_state(directory_t *d, uint64_t now, target_entry_t *e,
		      entry_state_t state);
static void mark_missing(directory_t *d, uint64_t now, target_entry_t *e);
static void delete_entry(directory_t *d, target_entry_t *e);

directory_t *directory_new(const directory_ops_t *ops, void *ctx)
{
	directory_t *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	d->ops = *ops;
	d->ctx = ctx;
	list_init(&d->entries);
	return d;
}

static void delete_entry(directory_t *d, target_entry_t *e)
{
	g_hash_table_remove(d->by_id, e->id);
	list_remove(&e->node);
	free(e);
}

void directory_free(directory_t *d)
{
	if (!d)
		return;
	list_each_safe(node, after, &d->entries)
		delete_entry(d, list_entry(node, target_entry_t, node));
	g_hash_table_destroy(d->by_id);
	free(d);
}

static void set_state(directory_t *d, uint64_t now, target_entry_t *e,
		      entry_state_t state)
{
	e->state = state;
	e->state_since_ms = now;
	e->missing_since_ms = 0;
	d->ops.changed(d->ctx, e);
}

void directory_put(directory_t *d, uint64_t now, const target_entry_t *entry)
{
	target_entry_t *e = g_hash_table_lookup(d->by_id, entry->id);
	entry_state_t old_state = ENTRY_GONE;
	bool restarted = false;
	list_t node;

	if (e) {
		e->listed = true;
		if (entry->revision <= e->revision)
			return;
		old_state = e->state;
		restarted = e->started_ms != entry->started_ms;
		node = e->node;
		*e = *entry;
		e->node = node;
	} else {
		e = g_memdup2(entry, sizeof(*entry));
		list_append(&d->entries, &e->node);
		g_hash_table_insert(d->by_id, e->id, e);
	}
	e->listed = true;
	e->missing_since_ms = 0;
	e->warmup_end_ms = now + entry->warmup_ms;
	e->state_since_ms = now;
	if (entry->state != old_state || restarted)
		set_state(d, now, e, entry->state);
}

/* Handles an entry that the store no longer lists. During an outage and
 * shortly after it, the entry of a live target may have expired, so a ready
 * target stays ready for DIRECTORY_GRACE_MS. */
static void mark_missing(directory_t *d, uint64_t now, target_entry_t *e)
{
	bool outage = d->last_failure_ms &&
		      (!d->recovered_ms ||
		       now < d->recovered_ms + RECOVERY_WINDOW_MS);

	if (e->state == ENTRY_GONE || e->missing_since_ms)
		return;
	if (outage && e->state == ENTRY_READY)
		e->missing_since_ms = now;
	else
		set_state(d, now, e, ENTRY_GONE);
}

void directory_remove(directory_t *d, uint64_t now, const char *id,
		      uint64_t revision)
{
	target_entry_t *e = g_hash_table_lookup(d->by_id, id);

	if (!e || revision <= e->revision)
		return;
	e->revision = revision;
	mark_missing(d, now, e);
}

void directory_resync_begin(directory_t *d)
{
	list_each(node, &d->entries) list_entry(node, target_entry_t, node)
		->listed = false;
}

void directory_resync_end(directory_t *d, uint64_t now, uint64_t revision)
{
	list_each(node, &d->entries)
	{
		target_entry_t *e = list_entry(node, target_entry_t, node);

		if (e->listed || revision <= e->revision)
			continue;
		e->revision = revision;
		mark_missing(d, now, e);
	}
}

void directory_store_unreachable(directory_t *d, uint64_t now)
{
	d->last_failure_ms = now ? now : 1;
	d->recovered_ms = 0;
}

void directory_store_reachable(directory_t *d, uint64_t now)
{
	if (d->last_failure_ms && !d->recovered_ms)
		d->recovered_ms = now;
}

void directory_tick(directory_t *d, uint64_t now)
{
	list_each_safe(node, after, &d->entries)
	{
		target_entry_t *e = list_entry(node, target_entry_t, node);

		if (e->missing_since_ms &&
		    now >= e->missing_since_ms + DIRECTORY_GRACE_MS)
			set_state(d, now, e, ENTRY_GONE);
		else if (e->state == ENTRY_GONE &&
			 now >= e->state_since_ms + GONE_RETENTION_MS)
			delete_entry(d, e);
	}
}

list_t *directory_entries(directory_t *d)
{
	return &d->entries;
}

const char *entry_state_name(entry_state_t state)
{
	static const char *const names[] = { "ready", "draining", "gone" };

	return names[state];
}
