#include "confapply.h"

#include "confhistory.h"

#include <inttypes.h>
#include <string.h>

enum sheet_state
{
  SHEET_WAITING,
  SHEET_READING,
  SHEET_WRITING,
  SHEET_ENDED /* APPLY is gone; the open call's reply frees it */
};

struct confapply_sheet
{
  struct list node;
  struct confapply *apply;
  struct sheet sheet;
  char *operator_name;
  confapply_done done;
  void *data;

  enum sheet_state state;
  int64_t due_ns;
  int64_t deadline_ns;
  unsigned failures;
  unsigned tries;
  bool uncertain;         /* A write may have taken effect. */
  struct config *latest;  /* newest configuration known to be stored */
  uint64_t root_revision; /* the KV service's, of the root; 0: no root */
  uint64_t root_holds;    /* the configuration revision in the root */
  struct merge merge;
  bool merged;
};

static void
merge_drop (struct confapply_sheet *sheet)
{
  if (sheet->merged)
    merge_finish (&sheet->merge);
  sheet->merged = false;
}

static void
sheet_free (struct confapply_sheet *sheet)
{
  merge_drop (sheet);
  config_unref (sheet->latest);
  sheet_finish (&sheet->sheet);
  g_free (sheet->operator_name);
  g_free (sheet);
}

static void
sheet_answer (struct confapply_sheet *sheet, enum status status,
              uint64_t revision)
{
  struct confapply_result result
      = { .status = status, .revision = revision, .tries = sheet->tries };

  result.merge = sheet->merged ? &sheet->merge : NULL;
  log_event (sheet->apply->store->log, EVENT_SHEET_APPLIED,
             "status=%s revision=%" PRIu64 " sheet=%s operator=%s tries=%u",
             status_name (status), revision, sheet->sheet.digest,
             sheet->operator_name, sheet->tries);
  sheet->done (sheet->data, &result);
}

static void
sheet_end (struct confapply_sheet *sheet, enum status status,
           uint64_t revision)
{
  list_remove (&sheet->node);
  sheet_answer (sheet, status, revision);
  sheet_free (sheet);
}

/* Try again after a while, or give up with the truth. */
static void
sheet_retry (struct confapply_sheet *sheet)
{
  const struct configstore *store = sheet->apply->store;
  int64_t now_ns = clock_now (store->clock);

  if (now_ns >= sheet->deadline_ns)
    {
      sheet_end (sheet, sheet->uncertain ? STATUS_UNKNOWN : STATUS_UNAVAILABLE,
                 0);
      return;
    }
  sheet->state = SHEET_WAITING;
  sheet->due_ns = now_ns + configstore_backoff (store, ++sheet->failures);
}

static GArray *
writes_new (const struct confapply_sheet *sheet)
{
  const struct config *result = sheet->merge.result;
  GArray *writes = g_array_new (FALSE, TRUE, sizeof (struct kv_write));
  GPtrArray *documents = config_documents (result);
  struct kv_write write
      = { g_strdup (CONFTEXT_ROOT_KEY), conftext_root (result), 0 };

  g_array_append_val (writes, write);
  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];

      if (document->revision <= sheet->root_holds)
        continue;
      write.key = g_strconcat (CONFTEXT_DOCUMENT_PREFIX, document->name, NULL);
      write.value = g_strdup (document->text);
      g_array_append_val (writes, write);
    }
  g_ptr_array_unref (documents);
  return writes;
}

static void
history_add (const struct confapply_sheet *sheet, GArray *writes)
{
  const struct confapply *apply = sheet->apply;
  uint64_t revision = sheet->merge.result->revision;
  char key[CONFHISTORY_KEY_MAX];
  struct kv_write write = { .lease = 0 };

  confhistory_key (revision, key);
  write.key = g_strdup (key);
  write.value = confhistory_text (&sheet->merge, sheet->sheet.digest,
                                  sheet->operator_name,
                                  clock_wall (apply->store->clock).tv_sec);
  g_array_append_val (writes, write);
  if (revision <= apply->settings->history_keep)
    return;
  confhistory_key (revision - apply->settings->history_keep, key);
  write.key = g_strdup (key);
  write.value = NULL;
  g_array_append_val (writes, write);
}

static void
writes_free (GArray *writes)
{
  for (guint i = 0; i < writes->len; i++)
    {
      struct kv_write *write = &g_array_index (writes, struct kv_write, i);

      g_free ((gpointer)write->key);
      g_free ((gpointer)write->value);
    }
  g_array_unref (writes);
}

static void
on_written (void *data, const struct kv_reply *reply)
{
  struct confapply_sheet *sheet = data;

  if (sheet->state == SHEET_ENDED)
    {
      sheet_free (sheet);
      return;
    }
  switch (reply->status)
    {
    case STATUS_OK:
      configstore_adopt (sheet->apply->store, sheet->merge.result);
      sheet_end (sheet, STATUS_OK, sheet->merge.result->revision);
      return;
    case STATUS_TOO_LARGE:
      sheet_end (sheet, STATUS_TOO_LARGE, 0);
      return;
    case STATUS_UNKNOWN:
    case STATUS_CANCELLED:
      sheet->uncertain = true;
      sheet_retry (sheet);
      return;
    default:
      sheet_retry (sheet);
    }
}

static void
sheet_write (struct confapply_sheet *sheet)
{
  struct kv *kv = sheet->apply->store->kv;
  struct kv_compare compare = { CONFTEXT_ROOT_KEY, sheet->root_revision };
  struct kv_txn txn = { .compares = &compare, .compare_count = 1 };
  GArray *writes = writes_new (sheet);

  history_add (sheet, writes);
  txn.writes = (const struct kv_write *)(void *)writes->data;
  txn.write_count = writes->len;
  sheet->state = SHEET_WRITING;
  sheet->tries++;
  kv->ops->txn (kv, &txn, on_written, sheet);
  writes_free (writes);
}

/* A write whose reply was lost is in the root's list of sheets. */
static bool
sheet_settled (struct confapply_sheet *sheet)
{
  uint64_t revision
      = config_sheet_revision (sheet->latest, sheet->sheet.digest);

  if (!sheet->uncertain || !sheet->merged || sheet->merge.result == NULL
      || revision < sheet->merge.result->revision)
    return false;
  sheet_end (sheet, STATUS_OK, revision);
  return true;
}

static void
sheet_merge_latest (struct confapply_sheet *sheet)
{
  if (sheet_settled (sheet))
    return;
  merge_drop (sheet);
  merge_init (&sheet->merge, &sheet->sheet, sheet->latest);
  sheet->merged = true;
  if (sheet->merge.result == NULL)
    sheet_end (sheet, STATUS_OK, sheet->latest->revision);
  else
    sheet_write (sheet);
}

static void
latest_set (struct confapply_sheet *sheet, struct config *config)
{
  config_unref (sheet->latest);
  sheet->latest = config;
}

/* The newest of what is stored and what is in force: should the KV service
   have lost writes, the next change stores them again. */
static void
latest_choose (struct confapply_sheet *sheet, struct config *stored)
{
  struct configstore *store = sheet->apply->store;

  sheet->root_holds = stored->revision;
  configstore_adopt (store, stored);
  if (store->config != NULL && store->config->revision > stored->revision)
    {
      latest_set (sheet, config_ref (store->config));
      config_unref (stored);
    }
  else
    latest_set (sheet, stored);
}

static uint64_t
root_revision (const struct kv_reply *reply)
{
  for (size_t i = 0; i < reply->item_count; i++)
    if (strcmp (reply->items[i].key, CONFTEXT_ROOT_KEY) == 0)
      return reply->items[i].revision;
  return 0;
}

static enum status
reply_load (struct confapply_sheet *sheet, const struct kv_reply *reply,
            struct config **stored)
{
  GArray *texts = configstore_texts (reply);
  struct error error;
  enum status status = conftext_load (
      stored, sheet->apply->store->config,
      (const struct conftext *)(void *)texts->data, texts->len, &error);

  g_array_unref (texts);
  return status;
}

static void
on_all_read (void *data, const struct kv_reply *reply)
{
  struct confapply_sheet *sheet = data;
  struct config *stored;

  if (sheet->state == SHEET_ENDED)
    {
      sheet_free (sheet);
      return;
    }
  if (reply->status != STATUS_OK)
    {
      sheet_retry (sheet);
      return;
    }
  sheet->root_revision = root_revision (reply);
  if (sheet->root_revision == 0)
    stored = config_empty ();
  else if (reply_load (sheet, reply, &stored) != STATUS_OK)
    {
      sheet_retry (sheet);
      return;
    }
  latest_choose (sheet, stored);
  sheet_merge_latest (sheet);
}

static void
on_root_read (void *data, const struct kv_reply *reply)
{
  struct confapply_sheet *sheet = data;
  struct kv *kv = NULL;
  struct config *stored;

  if (sheet->state == SHEET_ENDED)
    {
      sheet_free (sheet);
      return;
    }
  kv = sheet->apply->store->kv;
  if (reply->status == STATUS_OK
      && reply_load (sheet, reply, &stored) == STATUS_OK)
    {
      sheet->root_revision = root_revision (reply);
      latest_choose (sheet, stored);
      sheet_merge_latest (sheet);
    }
  else if (reply->status == STATUS_OK || reply->status == STATUS_NOT_FOUND)
    kv->ops->range (kv, CONFTEXT_PREFIX, on_all_read, sheet);
  else
    sheet_retry (sheet);
}

static void
sheet_read (struct confapply_sheet *sheet)
{
  struct kv *kv = sheet->apply->store->kv;

  sheet->state = SHEET_READING;
  kv->ops->get (kv, CONFTEXT_ROOT_KEY, on_root_read, sheet);
}

static struct confapply_sheet *
sheet_first (const struct confapply *apply)
{
  if (list_empty (&apply->sheets))
    return NULL;
  return LIST_ENTRY (apply->sheets.next, struct confapply_sheet, node);
}

void
confapply_init (struct confapply *apply,
                const struct confapply_settings *settings,
                struct configstore *store)
{
  apply->settings = settings;
  apply->store = store;
  list_init (&apply->sheets);
}

void
confapply_finish (struct confapply *apply)
{
  struct confapply_sheet *sheet;

  while ((sheet = sheet_first (apply)) != NULL)
    {
      bool open = sheet->state != SHEET_WAITING;

      list_remove (&sheet->node);
      sheet_answer (sheet, STATUS_CANCELLED, 0);
      sheet->state = SHEET_ENDED;
      if (!open)
        sheet_free (sheet);
    }
}

void
confapply_sheet (struct confapply *apply, const char *text, size_t size,
                 const char *operator_name, confapply_done done, void *data)
{
  struct confapply_sheet *sheet = g_new0 (struct confapply_sheet, 1);
  int64_t now_ns = clock_now (apply->store->clock);

  sheet->apply = apply;
  sheet->operator_name = g_strdup (operator_name);
  sheet->done = done;
  sheet->data = data;
  sheet->due_ns = now_ns;
  sheet->deadline_ns = now_ns + apply->settings->timeout_ns;
  sheet_init (&sheet->sheet, text, size);
  list_append (&apply->sheets, &sheet->node);
}

void
confapply_tick (struct confapply *apply)
{
  struct confapply_sheet *sheet = sheet_first (apply);

  if (sheet != NULL && sheet->state == SHEET_WAITING
      && clock_now (apply->store->clock) >= sheet->due_ns)
    sheet_read (sheet);
}

int64_t
confapply_next (const struct confapply *apply)
{
  const struct confapply_sheet *sheet = sheet_first (apply);

  if (sheet == NULL || sheet->state != SHEET_WAITING)
    return CLOCK_NEVER;
  return sheet->due_ns;
}
