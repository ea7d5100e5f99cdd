#include "evacuation.h"
#include <stdlib.h>
#include <string.h>

struct evacuations {
	list_t list;
	evacuation_changed_fn *changed;
	void *ctx;
	uint64_t era;		   /* highest era of any change or listing */
	store_revision_t revision; /* of the last complete listing */
	unsigned listing;	   /* store_listing_t: resyncs in progress */
};

static evacuation_t *find(const evacuations_t *s, const char *zone);
static bool is_newer(evacuations_t *s, const evacuation_t *e,
		     store_revision_t revision);
static void set_active(evacuations_t *s, uint64_t now, evacuation_t *e,
		       bool active, store_revision_t revision);

evacuations_t *evacuations_new(evacuation_changed_fn *changed, void *ctx)
{
	evacuations_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	list_init(&s->list);
	s->changed = changed;
	s->ctx = ctx;
	return s;
}

void evacuations_free(evacuations_t *s)
{
	if (!s)
		return;
	list_each_safe(node, after, &s->list)
		free(list_entry(node, evacuation_t, node));
	free(s);
}

static evacuation_t *find(const evacuations_t *s, const char *zone)
{
	list_each(node, &s->list)
	{
		evacuation_t *e = list_entry(node, evacuation_t, node);

		if (!strcmp(e->zone, zone))
			return e;
	}
	return NULL;
}

/* True for a change that is newer than what is known of the zone; e is NULL
 * when that is only the last listing. */
static bool is_newer(evacuations_t *s, const evacuation_t *e,
		     store_revision_t revision)
{
	if (revision.era < s->era)
		return false;
	s->era = revision.era;
	return store_revision_compare(revision, e ? e->revision : s->revision) >
	       0;
}

static void set_active(evacuations_t *s, uint64_t now, evacuation_t *e,
		       bool active, store_revision_t revision)
{
	bool changed = e->active != active;

	e->revision = revision;
	e->active = active;
	e->unconfirmed_since_ms = 0;
	if (!changed)
		return;
	e->since_ms = now;
	s->changed(s->ctx, e);
}

void evacuations_put(evacuations_t *s, uint64_t now, const char *zone,
		     store_revision_t revision)
{
	evacuation_t *e = find(s, zone);
	size_t len = strlen(zone);

	if (len == 0 || len >= EVACUATION_ZONE_SIZE)
		return;
	if (!is_newer(s, e, revision)) {
		if (e && !store_revision_compare(e->revision, revision))
			e->listed |= store_listing_current(s->listing);
		return;
	}
	if (!e) {
		e = calloc(1, sizeof(*e));
		if (!e)
			return;
		memcpy(e->zone, zone, len + 1);
		list_append(&s->list, &e->node);
	}
	e->listed |= store_listing_current(s->listing);
	set_active(s, now, e, true, revision);
}

void evacuations_remove(evacuations_t *s, uint64_t now, const char *zone,
			store_revision_t revision)
{
	evacuation_t *e = find(s, zone);

	if (e && is_newer(s, e, revision))
		set_active(s, now, e, false, revision);
}

void evacuations_set_unconfirmed(evacuations_t *s, uint64_t now,
				 const char *zone, uint64_t unconfirmed_ms)
{
	evacuation_t *e = find(s, zone);

	if (e && e->active && !e->unconfirmed_since_ms)
		e->unconfirmed_since_ms =
			now > unconfirmed_ms ? now - unconfirmed_ms : 1;
}

void evacuations_resync_begin(evacuations_t *s, store_listing_t listing)
{
	s->listing |= listing;
	list_each(node, &s->list) list_entry(node, evacuation_t, node)
		->listed &= ~(unsigned)listing;
}

void evacuations_resync_end(evacuations_t *s, store_listing_t listing,
			    uint64_t now, store_revision_t revision)
{
	s->listing &= ~(unsigned)listing;
	if (revision.era < s->era)
		return;
	s->era = revision.era;
	list_each(node, &s->list)
	{
		evacuation_t *e = list_entry(node, evacuation_t, node);

		if (e->listed & listing ||
		    store_revision_compare(revision, e->revision) <= 0)
			continue;
		if (!e->active || e->revision.era == revision.era)
			set_active(s, now, e, false, revision);
		else if (!e->unconfirmed_since_ms)
			e->unconfirmed_since_ms = now ? now : 1;
	}
	if (store_revision_compare(revision, s->revision) > 0)
		s->revision = revision;
}

void evacuations_tick(evacuations_t *s, uint64_t now)
{
	list_each(node, &s->list)
	{
		evacuation_t *e = list_entry(node, evacuation_t, node);

		if (e->unconfirmed_since_ms &&
		    now >= e->unconfirmed_since_ms + EVACUATION_UNCONFIRMED_MS)
			set_active(s, now, e, false, s->revision);
	}
}

const evacuation_t *evacuations_find(const evacuations_t *s, const char *zone)
{
	return find(s, zone);
}

bool evacuations_active(const evacuations_t *s, const char *zone)
{
	const evacuation_t *e = find(s, zone);

	return e && e->active;
}

unsigned evacuations_count(const evacuations_t *s)
{
	unsigned n = 0;

	list_each(node, &s->list) n +=
		list_entry(node, evacuation_t, node)->active;
	return n;
}

store_revision_t evacuations_revision(const evacuations_t *s)
{
	return s->revision;
}

list_t *evacuations_list(evacuations_t *s)
{
	return &s->list;
}
