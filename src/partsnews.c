#include "partsnews.h"
#include "partsnews.pb-c.h"

#include <string.h>

enum
{
  SCOPES_MAX = 16 /* in one datagram */
};

/* Room for what one datagram is packed from. */
struct draft
{
  Trefoilspar__PartsNews message;
  Trefoilspar__PartChange changes[PARTSNEWS_PARTS_MAX];
  Trefoilspar__PartChange *change_pointers[PARTSNEWS_PARTS_MAX];
  char *scopes[SCOPES_MAX];
};

static bool
scope_index (struct draft *draft, const char *scope, uint32_t *index)
{
  size_t count = draft->message.n_scopes;

  for (*index = 0; *index < count; (*index)++)
    if (strcmp (draft->scopes[*index], scope) == 0)
      return true;
  if (count == SCOPES_MAX)
    return false;
  draft->scopes[count] = (char *)scope;
  draft->message.n_scopes++;
  return true;
}

static bool
draft_add (struct draft *draft, const struct cache_part *part)
{
  size_t count = draft->message.n_changes;
  Trefoilspar__PartChange *change = &draft->changes[count];

  if (count == PARTSNEWS_PARTS_MAX)
    return false;
  trefoilspar__part_change__init (change);
  if (!scope_index (draft, part->scope, &change->scope))
    return false;
  change->number = part->number;
  change->id = part->id;
  change->tokens = part->tokens;
  change->gone = part->gone;
  draft->change_pointers[count] = change;
  draft->message.n_changes++;
  return true;
}

size_t
partsnews_write (const struct kvstore_news *news,
                 uint8_t bytes[PARTSNEWS_BYTES_MAX])
{
  struct draft draft = { .message = TREFOILSPAR__PARTS_NEWS__INIT };
  Trefoilspar__PartsNews *message = &draft.message;

  message->store = (char *)news->store;
  message->epoch = news->epoch;
  message->since = news->since;
  message->next = news->next;
  message->scopes = draft.scopes;
  message->changes = draft.change_pointers;
  for (unsigned i = 0; i < news->part_count; i++)
    if (!draft_add (&draft, &news->parts[i]))
      return 0;
  if (trefoilspar__parts_news__get_packed_size (message) > PARTSNEWS_BYTES_MAX)
    return 0;
  return trefoilspar__parts_news__pack (message, bytes);
}

/* @return false if the change names no scope of its datagram */
static bool
change_read (const Trefoilspar__PartsNews *message,
             const Trefoilspar__PartChange *change, struct cache_part *part)
{
  if (change->scope >= message->n_scopes)
    return false;
  part->number = change->number;
  part->id = change->id;
  part->tokens = change->tokens;
  part->gone = change->gone;
  return g_strlcpy (part->scope, message->scopes[change->scope],
                    sizeof part->scope)
         < sizeof part->scope;
}

bool
partsnews_read (struct kvstores *kvstores, const uint8_t *bytes, size_t size)
{
  Trefoilspar__PartsNews *message
      = trefoilspar__parts_news__unpack (NULL, size, bytes);
  struct cache_part parts[PARTSNEWS_PARTS_MAX];
  struct kvstore_news news = { .parts = parts };
  bool whole;

  if (message == NULL)
    return false;
  whole = message->n_changes <= PARTSNEWS_PARTS_MAX;
  news.store = message->store;
  news.epoch = message->epoch;
  news.since = message->since;
  news.next = message->next;
  for (size_t i = 0; whole && i < message->n_changes; i++)
    whole = change_read (message, message->changes[i],
                         &parts[news.part_count++]);
  if (whole)
    kvstores_take_news (kvstores, &news);
  trefoilspar__parts_news__free_unpacked (message, NULL);
  return whole;
}
