#include "confpoll.h"
#include "conftext.h"

#include <glib.h>
#include <string.h>

#define POLL_EVERY_NS (500 * NS_PER_MS)

static void
take (struct confpoll *poll, const struct kv_reply *reply)
{
  struct conftext *texts = g_new0 (struct conftext, reply->item_count + 1);
  struct config *config;
  struct error error;

  for (size_t i = 0; i < reply->item_count; i++)
    {
      texts[i].key = reply->items[i].key;
      texts[i].value = reply->items[i].value;
      if (strcmp (texts[i].key, CONFTEXT_ROOT_KEY) == 0)
        poll->root_revision = reply->items[i].revision;
    }
  if (conftext_load (&config, poll->config, texts, reply->item_count, &error)
      == STATUS_OK)
    {
      if (poll->config == NULL || config->revision > poll->config->revision)
        {
          config_unref (poll->config);
          poll->config = config;
          poll->changed (poll->data);
        }
      else
        config_unref (config);
    }
  g_free (texts);
}

static void
answered (void *data, const struct kv_reply *reply)
{
  struct confpoll *poll = data;

  poll->asking = false;
  if (reply->status == STATUS_OK)
    take (poll, reply);
}

void
confpoll_init (struct confpoll *poll, struct kv *kv, const struct clock *clock,
               void (*changed) (void *data), void *data)
{
  memset (poll, 0, sizeof *poll);
  poll->kv = kv;
  poll->clock = clock;
  poll->changed = changed;
  poll->data = data;
}

void
confpoll_finish (struct confpoll *poll)
{
  config_unref (poll->config);
}

void
confpoll_tick (struct confpoll *poll)
{
  int64_t now = clock_now (poll->clock);

  if (poll->asking || now < poll->next_ns)
    return;
  poll->asking = true;
  poll->next_ns = now + POLL_EVERY_NS;
  poll->kv->ops->range (poll->kv, CONFTEXT_PREFIX, answered, poll);
}

void
confpoll_write (struct confpoll *poll, const struct config *next, kv_done done,
                void *data)
{
  GPtrArray *documents = config_documents (next);
  struct kv_write *writes = g_new0 (struct kv_write, documents->len + 1);
  struct kv_compare compare = { CONFTEXT_ROOT_KEY, poll->root_revision };
  struct kv_txn txn = { &compare, 1, writes, 0 };
  char *root = conftext_root (next);

  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];

      if (document->revision != next->revision)
        continue;
      writes[txn.write_count].key
          = g_strconcat (CONFTEXT_DOCUMENT_PREFIX, document->name, NULL);
      writes[txn.write_count++].value = document->text;
    }
  writes[txn.write_count].key = CONFTEXT_ROOT_KEY;
  writes[txn.write_count++].value = root;
  poll->kv->ops->txn (poll->kv, &txn, done, data);
  for (size_t i = 0; i + 1 < txn.write_count; i++)
    g_free ((char *)writes[i].key);
  g_free (writes);
  g_free (root);
  g_ptr_array_unref (documents);
}
