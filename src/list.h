#ifndef LIST_H
#define LIST_H

/*
 * list - intrusive doubly linked lists
 *
 * A list_t is either the head of a list or a node embedded in a structure.
 * Lists do not own the structures: removing a node frees nothing.
 */

#include <stddef.h>

typedef struct list {
	struct list *prev;
	struct list *next;
} list_t;

#define list_entry(node, type, member)                                         \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

#define list_each(node, head)                                                  \
	for (list_t *node = (head)->next; node != (head); node = node->next)

/* Like list_each, but the current node may be removed. */
#define list_each_safe(node, after, head)                                      \
	for (list_t *node = (head)->next, *after = node->next; node != (head); \
	     node = after, after = node->next)

static inline void list_init(list_t *head)
{
	head->prev = head;
	head->next = head;
}

static inline int list_empty(const list_t *head)
{
	return head->next == head;
}

static inline void list_append(list_t *head, list_t *node)
{
	node->prev = head->prev;
	node->next = head;
	/* False positive: the analyser assumes that head->prev is NULL. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	head->prev->next = node;
	head->prev = node;
}

static inline void list_remove(list_t *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

#endif
