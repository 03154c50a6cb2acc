#ifndef LIST_H
#define LIST_H

#include <stdbool.h>
#include <stddef.h>

/** @file
 * Intrusive, circular, doubly linked list: the node is a member of the type of
 * the elements, and the head is a node without an element.
 */

struct list
{
  struct list *next;
  struct list *prev;
};

/** Return the element of TYPE whose member MEMBER is NODE. */
#define LIST_ENTRY(node, type, member)                                        \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

/** Initialise HEAD as an empty list, or as a node that is in no list. */
static inline void
list_init (struct list *head)
{
  head->next = head;
  head->prev = head;
}

static inline bool
list_empty (const struct list *head)
{
  return head->next == head;
}

/** Insert NODE before POSITION. If POSITION is the head, NODE becomes the last
 * node. */
static inline void
list_insert_before (struct list *position, struct list *node)
{
  node->next = position;
  node->prev = position->prev;
  position->prev->next = node;
  position->prev = node;
}

static inline void
list_append (struct list *head, struct list *node)
{
  list_insert_before (head, node);
}

static inline void
list_prepend (struct list *head, struct list *node)
{
  list_insert_before (head->next, node);
}

/** Remove NODE from its list. Does nothing if NODE is in no list. */
static inline void
list_remove (struct list *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  list_init (node);
}

/** Remove and return the first node of the list HEAD, which is not empty. */
static inline struct list *
list_pop (struct list *head)
{
  struct list *node = head->next;

  head->next = node->next;
  node->next->prev = head;
  list_init (node);
  return node;
}

#endif
