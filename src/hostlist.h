#ifndef HOSTLIST_H
#define HOSTLIST_H

#include "clock.h"
#include "httpjson.h"

/** @file
 * The platform's lagging list of backend servers and store hosts, behind a
 * table of function pointers; one implementation polls it over HTTP.
 */

enum
{
  HOSTLIST_NAME_MAX = 64 /**< bytes, with the final NUL */
};

enum hostlist_kind
{
  HOSTLIST_ENGINE,
  HOSTLIST_SERVICE,
  HOSTLIST_STORE,
  HOSTLIST_OTHER
};

struct hostlist_entry
{
  char name[HOSTLIST_NAME_MAX];
  char address[HOSTLIST_NAME_MAX]; /**< "IP:PORT" */
  char data_centre[HOSTLIST_NAME_MAX];
  char service[HOSTLIST_NAME_MAX];
  enum hostlist_kind kind;
  bool leaving;
};

struct hostlist;

struct hostlist_ops
{
  /** Ask for the list; the answer comes through hostlist.changed. */
  void (*poll) (struct hostlist *hostlist);
};

/** The list as last seen. An outage of its source leaves it as it is. */
struct hostlist
{
  const struct hostlist_ops *ops;
  struct hostlist_entry *entries;
  size_t count;
  void *by_name; /**< hash table: name to entry; NULL before the first list */
  void (*changed) (void *data); /**< after each answer; may be NULL */
  void *data;
};

/** The implementation over HTTP. */
struct hostlist_http
{
  struct hostlist hostlist;
  struct httpjson *httpjson;
  const char *address;
  bool asking;
};

void hostlist_http_init (struct hostlist_http *http, struct httpjson *httpjson,
                         const char *address);
void hostlist_finish (struct hostlist *hostlist);

static inline void
hostlist_poll (struct hostlist *hostlist)
{
  hostlist->ops->poll (hostlist);
}

/** The entry named NAME, or NULL. */
const struct hostlist_entry *hostlist_find (const struct hostlist *hostlist,
                                            const char *name);

/** Replace the list by what OBJECT holds; entries without a name or with an
 * address that is not numeric are left out. */
enum status hostlist_read (struct hostlist *hostlist,
                           struct json_object *object);

#endif
