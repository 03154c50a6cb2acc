#include "storeupdate.h"
#include "partsnews.pb-c.h"

#include <string.h>

enum
{
  DATAGRAM_SCOPES_MAX = 16
};

/* A datagram that is being built: the protobuf message and the arrays that it
 * points to. */
struct draft
{
  Trefoilspar__PartsNews message;
  Trefoilspar__PartChange changes[STOREUPDATE_BLOCKS_MAX];
  Trefoilspar__PartChange *change_pointers[STOREUPDATE_BLOCKS_MAX];
  char *scopes[DATAGRAM_SCOPES_MAX];
};

/* Sets INDEX to the index of SCOPE in the message, and adds SCOPE to the
 * message if it is missing.
 * @return false if the message has no space for another scope */
static bool
draft_scope_index (struct draft *draft, const char *scope, uint32_t *index)
{
  size_t count = draft->message.n_scopes;

  for (*index = 0; *index < count; (*index)++)
    if (strcmp (draft->scopes[*index], scope) == 0)
      return true;
  if (count == DATAGRAM_SCOPES_MAX)
    return false;
  draft->scopes[count] = (char *)scope;
  draft->message.n_scopes++;
  return true;
}

/* Adds the change of BLOCK to the message.
 * @return false if the message has no space for the change */
static bool
draft_add (struct draft *draft, const struct cache_block *block)
{
  size_t count = draft->message.n_changes;
  Trefoilspar__PartChange *change = &draft->changes[count];

  if (count == STOREUPDATE_BLOCKS_MAX)
    return false;
  trefoilspar__part_change__init (change);
  if (!draft_scope_index (draft, block->scope, &change->scope))
    return false;
  change->number = block->change_number;
  change->id = block->id;
  change->tokens = block->tokens;
  change->gone = block->removed;
  draft->change_pointers[count] = change;
  draft->message.n_changes++;
  return true;
}

void
storeupdate_split (const struct kvstore_update *update,
                   struct kvstore_update *part)
{
  const struct cache_block *end = update->blocks + update->block_count;
  bool is_first = part->blocks == update->blocks
                  && part->block_count == update->block_count;
  uint64_t last;

  if (!is_first)
    {
      part->blocks += part->block_count;
      part->since_event_number = part->last_event_number;
    }
  part->block_count
      = MIN ((unsigned)(end - part->blocks), STOREUPDATE_PART_BLOCKS);
  part->last_event_number = update->last_event_number;
  if (part->blocks + part->block_count == end)
    return;
  last = part->blocks[part->block_count - 1].change_number;
  if (last > part->since_event_number && last < update->last_event_number)
    part->last_event_number = last;
  else
    part->block_count = (unsigned)(end - part->blocks);
}

size_t
storeupdate_encode (const struct kvstore_update *update,
                    uint8_t bytes[STOREUPDATE_BYTES_MAX])
{
  struct draft draft = { .message = TREFOILSPAR__PARTS_NEWS__INIT };
  Trefoilspar__PartsNews *message = &draft.message;

  message->store = (char *)update->store;
  message->epoch = update->epoch;
  message->since = update->since_event_number;
  message->next = update->last_event_number;
  message->sender = update->sender;
  message->sent_ns = update->sent_ns;
  message->scopes = draft.scopes;
  message->changes = draft.change_pointers;
  for (unsigned i = 0; i < update->block_count; i++)
    if (!draft_add (&draft, &update->blocks[i]))
      return 0;
  if (trefoilspar__parts_news__get_packed_size (message)
      > STOREUPDATE_BYTES_MAX)
    return 0;
  return trefoilspar__parts_news__pack (message, bytes);
}

/* Decodes one change of MESSAGE.
 * @return false if the scope of the change is too long or not in the datagram
 */
static bool
change_decode (const Trefoilspar__PartsNews *message,
               const Trefoilspar__PartChange *change,
               struct cache_block *block)
{
  if (change->scope >= message->n_scopes)
    return false;
  block->change_number = change->number;
  block->id = change->id;
  block->tokens = change->tokens;
  block->removed = change->gone;
  return g_strlcpy (block->scope, message->scopes[change->scope],
                    sizeof block->scope)
         < sizeof block->scope;
}

bool
storeupdate_apply (struct kvstores *kvstores, const uint8_t *bytes,
                   size_t size)
{
  Trefoilspar__PartsNews *message
      = trefoilspar__parts_news__unpack (NULL, size, bytes);
  struct cache_block blocks[STOREUPDATE_BLOCKS_MAX];
  struct kvstore_update update = { .blocks = blocks };
  bool valid;

  if (message == NULL)
    return false;
  valid = message->n_changes <= STOREUPDATE_BLOCKS_MAX;
  update.store = message->store;
  update.epoch = message->epoch;
  update.since_event_number = message->since;
  update.last_event_number = message->next;
  update.sender = message->sender;
  update.sent_ns = message->sent_ns;
  for (size_t i = 0; valid && i < message->n_changes; i++)
    valid = change_decode (message, message->changes[i],
                           &blocks[update.block_count++]);
  if (valid)
    kvstores_apply_update (kvstores, &update);
  trefoilspar__parts_news__free_unpacked (message, NULL);
  return valid;
}
