#include "directory.h"
#include "relay_mechanism.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Entries are kept for this long after they are gone, since their agents may
 * still hold flows. */
#define GONE_RETENTION_MS 70000
/* An entry that is removed up to this long after the end of an outage of the
 * store may have expired because of the outage. */
#define RECOVERY_WINDOW_MS 2000

/* Greatest age of a copy from which the store is restored: that of the history
 * that the store keeps. A directory that has been kept for longer knows all
 * targets of the copy. */
#define COPY_AGE_MAX_MS 20000

/* An item of another writer under an id of which no entry is known, or one that
 * is gone. */
typedef struct foreign_item {
	char id[DIRECTORY_ID_SIZE];
	store_revision_t revision;
	unsigned listed; /* as in target_entry_t */
} foreign_item_t;

struct directory {
	GHashTable *by_id; /* id -> target_entry_t */
	list_t entries;
	GHashTable *foreign;	  /* id -> foreign_item_t, owned */
	uint64_t hiding_until_ms; /* see directory_hiding_ms() */
	uint32_t expiry_ms;	  /* see directory_new() */
	directory_ops_t ops;
	void *ctx;
	uint64_t last_failure_ms; /* last failed request; 0: none */
	uint64_t recovered_ms;	  /* first answer after that; 0: none yet */
	uint64_t since_ms;	  /* first entry */
	uint64_t first_listed_ms; /* end of the first listing; 0: none yet */
	uint64_t era;		  /* highest era of any entry or listing */
	/* The era rose while entries of an earlier one were known, and its
	 * first listing has not ended. */
	bool restored;
	unsigned listing; /* store_listing_t: resyncs in progress */
};

static void set_state(directory_t *d, uint64_t now, target_entry_t *e,
		      entry_state_t state);
static void mark_missing(directory_t *d, uint64_t now, target_entry_t *e);
static void delete_entry(directory_t *d, target_entry_t *e);

directory_t *directory_new(uint32_t expiry_ms, const directory_ops_t *ops,
			   void *ctx)
{
	directory_t *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	d->expiry_ms = expiry_ms;
	d->ops = *ops;
	d->ctx = ctx;
	d->foreign =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
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
	g_hash_table_destroy(d->foreign);
	g_hash_table_destroy(d->by_id);
	free(d);
}

static void set_state(directory_t *d, uint64_t now, target_entry_t *e,
		      entry_state_t state)
{
	e->state = state;
	e->state_since_ms = now;
	e->missing_since_ms = 0;
	e->unconfirmed_since_ms = 0;
	e->overwritten_since_ms = 0;
	d->ops.changed(d->ctx, e);
}

/* Notes the era of an entry or a listing. Returns false for an earlier era:
 * what was read then is out of date. */
static bool enter_era(directory_t *d, uint64_t era)
{
	if (era < d->era)
		return false;
	if (era > d->era) {
		d->era = era;
		d->restored = !list_empty(&d->entries);
	}
	return true;
}

/*
 * True when the entry read is newer than the known one. Between two eras the
 * revisions tell nothing; the start of the target and the number of its write
 * do, since its writes are numbered from its start.
 */
static bool is_newer(const target_entry_t *entry, const target_entry_t *known)
{
	if (entry->revision.era == known->revision.era)
		return !relay_mechanism_on(RELAY_REVISION_ORDER) ||
		       store_revision_compare(entry->revision,
					      known->revision) > 0;
	if (entry->started_ms != known->started_ms)
		return entry->started_ms > known->started_ms;
	return entry->write_number > known->write_number;
}

/* Keeps a known entry although the restored store lists it differently or as it
 * is known. A target that is known to be gone may still have left. */
static void keep_known(uint64_t now, target_entry_t *e,
		       const target_entry_t *entry)
{
	e->revision = entry->revision;
	e->missing_since_ms = 0;
	e->overwritten_since_ms = 0;
	if (entry->state == ENTRY_GONE || e->state != ENTRY_GONE)
		return;
	e->unconfirmed_since_ms = now;
	e->listed_state = entry->state;
}

/* Notes that the listing in progress contains the entry. */
static void mark_listed(const directory_t *d, target_entry_t *e)
{
	e->listed |= store_listing_current(d->listing);
}

/* Adds an entry of a target that was not known. */
static target_entry_t *add_entry(directory_t *d, const target_entry_t *entry)
{
	target_entry_t *e = g_memdup2(entry, sizeof(*entry));

	list_append(&d->entries, &e->node);
	g_hash_table_insert(d->by_id, e->id, e);
	return e;
}

/* Forgets another writer's item that is no longer there. */
static void forget_foreign(directory_t *d, const char *id,
			   store_revision_t revision)
{
	const foreign_item_t *item = g_hash_table_lookup(d->foreign, id);

	if (item && store_revision_compare(revision, item->revision) > 0)
		g_hash_table_remove(d->foreign, id);
}

/* Notes another writer's item. One that was there before hides no target that
 * still lives: it would have written its entry again. */
static void note_foreign(directory_t *d, uint64_t now, const char *id,
			 store_revision_t revision)
{
	foreign_item_t *item = g_hash_table_lookup(d->foreign, id);

	if (!item) {
		item = g_new0(foreign_item_t, 1);
		g_strlcpy(item->id, id, sizeof(item->id));
		g_hash_table_insert(d->foreign, item->id, item);
		directory_set_hiding(d, now, d->expiry_ms);
	}
	item->revision = revision;
	item->listed |= store_listing_current(d->listing);
}

void directory_overwrite(directory_t *d, uint64_t now, const char *id,
			 store_revision_t revision)
{
	target_entry_t *e = g_hash_table_lookup(d->by_id, id);

	if (!enter_era(d, revision.era))
		return;
	if (e) {
		mark_listed(d, e);
		if (store_revision_compare(revision, e->revision) < 0)
			return;
		e->revision = revision;
	}
	if (!e || e->state == ENTRY_GONE) {
		note_foreign(d, now, id, revision);
		if (e)
			e->unconfirmed_since_ms = 0;
		return;
	}
	e->missing_since_ms = 0;
	if (!e->overwritten_since_ms)
		e->overwritten_since_ms = now ? now : 1;
}

/* True when the entry is not that of the target that is known under its id: its
 * service is not named, while the target's is. */
static bool is_foreign(const directory_t *d, const target_entry_t *entry,
		       const target_entry_t *known)
{
	return entry->state != ENTRY_GONE &&
	       strcmp(entry->service, known->service) != 0 &&
	       !d->ops.names_service(d->ctx, entry->service) &&
	       d->ops.names_service(d->ctx, known->service);
}

/* True when the entry is that of a target in whose place another writer's, of a
 * service that is not named, was read first. */
static bool takes_back(const directory_t *d, const target_entry_t *entry,
		       const target_entry_t *known)
{
	return strcmp(entry->service, known->service) != 0 &&
	       !d->ops.names_service(d->ctx, known->service);
}

void directory_put(directory_t *d, uint64_t now, const target_entry_t *entry)
{
	target_entry_t *e = g_hash_table_lookup(d->by_id, entry->id);
	entry_state_t old_state = ENTRY_GONE;
	bool restarted = false, moved = false, was_cold = false;
	unsigned listed;
	list_t node;

	if (e && is_foreign(d, entry, e)) {
		directory_overwrite(d, now, entry->id, entry->revision);
		return;
	}
	if (!enter_era(d, entry->revision.era))
		return;
	/* It may stand in place of a target's entry that was not read. A peer
	 * tells how long that is possible. */
	if (!e && store_listing_current(d->listing) == LISTING_STORE &&
	    !d->ops.names_service(d->ctx, entry->service))
		directory_set_hiding(d, now, d->expiry_ms);
	forget_foreign(d, entry->id, entry->revision);
	if (list_empty(&d->entries))
		d->since_ms = now;
	if (!e && (entry->state == ENTRY_GONE ||
		   (d->restored && now < d->since_ms + COPY_AGE_MAX_MS))) {
		e = add_entry(d, entry);
		mark_listed(d, e);
		e->state = ENTRY_GONE;
		e->state_since_ms = now;
		keep_known(now, e, entry);
		/* A peer remembers it: its agent may still hold flows. */
		if (entry->state == ENTRY_GONE)
			d->ops.changed(d->ctx, e);
		return;
	}
	if (e) {
		mark_listed(d, e);
		if (!is_newer(entry, e)) {
			if (entry->revision.era > e->revision.era)
				keep_known(now, e, entry);
			return;
		}
		old_state = e->state;
		restarted = e->started_ms != entry->started_ms;
		moved = strcmp(e->zone, entry->zone) != 0 ||
			takes_back(d, entry, e);
		was_cold = now < e->warmup_end_ms;
		listed = e->listed;
		node = e->node;
		*e = *entry;
		e->listed = listed;
		e->node = node;
	} else {
		e = add_entry(d, entry);
	}
	mark_listed(d, e);
	e->missing_since_ms = 0;
	e->unconfirmed_since_ms = 0;
	e->overwritten_since_ms = 0;
	e->warmup_end_ms = now + entry->warmup_ms;
	e->state_since_ms = now;
	if (entry->state != old_state || restarted || moved ||
	    (entry->warmup_ms && !was_cold))
		set_state(d, now, e, entry->state);
}

/* Handles an entry that the store no longer lists. During an outage and
 * shortly after it, the entry of a live target may have expired, so a ready
 * target stays ready until DIRECTORY_GRACE_MS after the outage; so does any
 * target for this time when the store was restored from a copy in which its
 * entry may be missing. */
static void mark_missing(directory_t *d, uint64_t now, target_entry_t *e)
{
	bool outage = relay_mechanism_on(RELAY_OUTAGE_GRACE) &&
		      d->last_failure_ms &&
		      (!d->recovered_ms ||
		       now < d->recovered_ms + RECOVERY_WINDOW_MS);

	e->unconfirmed_since_ms = 0;
	e->overwritten_since_ms = 0;
	if (e->state == ENTRY_GONE || e->missing_since_ms)
		return;
	if (d->restored)
		e->missing_since_ms = now;
	else if (outage && e->state == ENTRY_READY)
		e->missing_since_ms = d->recovered_ms ? d->recovered_ms : now;
	else
		set_state(d, now, e, ENTRY_GONE);
}

void directory_remove(directory_t *d, uint64_t now, const char *id,
		      store_revision_t revision)
{
	target_entry_t *e = g_hash_table_lookup(d->by_id, id);

	if (!enter_era(d, revision.era))
		return;
	forget_foreign(d, id, revision);
	if (!e || store_revision_compare(revision, e->revision) <= 0)
		return;
	e->revision = revision;
	mark_missing(d, now, e);
}

void directory_set_missing(directory_t *d, uint64_t now, const char *id,
			   store_revision_t revision, uint64_t missing_ms)
{
	target_entry_t *e = g_hash_table_lookup(d->by_id, id);

	uint64_t since_ms = now > missing_ms ? now - missing_ms : 1;

	if (!e || e->missing_since_ms || e->unconfirmed_since_ms ||
	    store_revision_compare(revision, e->revision) < 0)
		return;
	if (e->state != ENTRY_GONE)
		e->missing_since_ms = since_ms;
	else if (since_ms < e->state_since_ms)
		e->state_since_ms = since_ms;
}

void directory_set_overwritten(directory_t *d, uint64_t now, const char *id,
			       store_revision_t revision,
			       uint64_t overwritten_ms)
{
	target_entry_t *e = g_hash_table_lookup(d->by_id, id);

	if (!e || e->state == ENTRY_GONE || e->overwritten_since_ms ||
	    store_revision_compare(revision, e->revision) < 0)
		return;
	e->overwritten_since_ms =
		now > overwritten_ms ? now - overwritten_ms : 1;
}

uint64_t directory_hiding_ms(const directory_t *d, uint64_t now)
{
	return now < d->hiding_until_ms ? d->hiding_until_ms - now : 0;
}

void directory_set_hiding(directory_t *d, uint64_t now, uint64_t hiding_ms)
{
	if (d->hiding_until_ms < now + hiding_ms)
		d->hiding_until_ms = now + hiding_ms;
}

void directory_resync_begin(directory_t *d, store_listing_t listing)
{
	GHashTableIter iter;
	gpointer item;

	d->listing |= listing;
	list_each(node, &d->entries) list_entry(node, target_entry_t, node)
		->listed &= ~(unsigned)listing;
	g_hash_table_iter_init(&iter, d->foreign);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		((foreign_item_t *)item)->listed &= ~(unsigned)listing;
}

/* Forgets items of other writers that the store no longer lists. */
static void forget_unlisted(directory_t *d, store_revision_t revision)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->foreign);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const foreign_item_t *item = value;

		if (!(item->listed & LISTING_STORE) &&
		    store_revision_compare(revision, item->revision) > 0)
			g_hash_table_iter_remove(&iter);
	}
}

void directory_resync_end(directory_t *d, store_listing_t listing, uint64_t now,
			  store_revision_t revision)
{
	d->listing &= ~(unsigned)listing;
	if (!enter_era(d, revision.era))
		return;
	if (!d->first_listed_ms)
		d->first_listed_ms = now ? now : 1;
	list_each(node, &d->entries)
	{
		target_entry_t *e = list_entry(node, target_entry_t, node);

		if (e->listed & listing ||
		    store_revision_compare(revision, e->revision) <= 0)
			continue;
		e->revision = revision;
		mark_missing(d, now, e);
	}
	if (listing == LISTING_STORE)
		forget_unlisted(d, revision);
	d->restored = false;
}

bool directory_listing(const directory_t *d)
{
	return d->listing;
}

void directory_store_unreachable(directory_t *d, uint64_t now)
{
	d->last_failure_ms = now ? now : 1;
	d->recovered_ms = 0;
}

void directory_store_reachable(directory_t *d, uint64_t now)
{
	if (!d->last_failure_ms || d->recovered_ms)
		return;
	d->recovered_ms = now;
	/* Targets may not have reached the store, either. */
	if (d->hiding_until_ms > d->last_failure_ms)
		directory_set_hiding(d, now, DIRECTORY_GRACE_MS);
}

bool directory_store_answers(const directory_t *d)
{
	return !d->last_failure_ms || d->recovered_ms;
}

/* True when a target whose entry was overwritten has left or is silent: it has
 * not written it again, though the store takes writes. */
static bool is_overwritten_for_good(const directory_t *d, uint64_t now,
				    const target_entry_t *e)
{
	return e->overwritten_since_ms && directory_store_answers(d) &&
	       now >= e->overwritten_since_ms + d->expiry_ms &&
	       (!d->recovered_ms ||
		now >= d->recovered_ms + DIRECTORY_GRACE_MS);
}

void directory_tick(directory_t *d, uint64_t now)
{
	list_each_safe(node, after, &d->entries)
	{
		target_entry_t *e = list_entry(node, target_entry_t, node);

		if (e->missing_since_ms &&
		    now >= e->missing_since_ms + DIRECTORY_GRACE_MS)
			set_state(d, now, e, ENTRY_GONE);
		else if (is_overwritten_for_good(d, now, e))
			mark_missing(d, now, e);
		else if (e->unconfirmed_since_ms &&
			 now >= e->unconfirmed_since_ms + d->expiry_ms)
			set_state(d, now, e, e->listed_state);
		else if (e->state == ENTRY_GONE && !e->unconfirmed_since_ms &&
			 now >= e->state_since_ms + GONE_RETENTION_MS)
			delete_entry(d, e);
	}
}

bool directory_settling(const directory_t *d, uint64_t now)
{
	return d->first_listed_ms &&
	       now < d->first_listed_ms + DIRECTORY_GRACE_MS;
}

bool directory_first_listing(const directory_t *d)
{
	return d->listing && !d->first_listed_ms;
}

const target_entry_t *directory_find(const directory_t *d, const char *id)
{
	return g_hash_table_lookup(d->by_id, id);
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
