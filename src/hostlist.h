#ifndef HOSTLIST_H
#define HOSTLIST_H

#include "clock.h"
#include "httpjson.h"

/** @file
 * The platform's list of backend servers and store hosts, which lags behind
 * their true state. Its source is behind a table of function pointers; one
 * implementation polls the list over HTTP.
 */

enum
{
  /** Size of each string of an entry, including the final NUL. */
  HOSTLIST_TEXT_MAX = 64
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
  char name[HOSTLIST_TEXT_MAX];
  char address[HOSTLIST_TEXT_MAX]; /**< Address in the form "IP:PORT". */
  char data_centre[HOSTLIST_TEXT_MAX];
  char service[HOSTLIST_TEXT_MAX];
  enum hostlist_kind kind;
  bool leaving;
};

struct hostlist;

struct hostlist_ops
{
  /** Request the list. hostlist.list_received is called once a valid list
   * is received. */
  void (*poll) (struct hostlist *hostlist);
};

/** The list as last received. It is kept while its source is down. */
struct hostlist
{
  const struct hostlist_ops *ops;
  struct hostlist_entry *entries;
  size_t count;
  void *by_name; /**< GHashTable from name to entry; NULL until the first list
                    is received. */
  void (*list_received) (void *data); /**< Called after each valid list; may be
                                       * NULL. */
  void *data;
};

/** A host list that polls its source over HTTP. */
struct hostlist_http
{
  struct hostlist hostlist;
  struct httpjson *httpjson;
  const char *address;
  bool poll_in_flight;
};

void hostlist_http_init (struct hostlist_http *http, struct httpjson *httpjson,
                         const char *address);
void hostlist_finish (struct hostlist *hostlist);

static inline void
hostlist_poll (struct hostlist *hostlist)
{
  hostlist->ops->poll (hostlist);
}

/** @return the entry named NAME, or NULL. */
const struct hostlist_entry *hostlist_find (const struct hostlist *hostlist,
                                            const char *name);

/** Replace the list by the hosts in OBJECT. Entries without a name, with a
 * string that is too long or with an address that isn't numeric are
 * skipped. */
enum status hostlist_parse (struct hostlist *hostlist,
                            struct json_object *object);

#endif
