#include "confapply.h"

#include "confhistory.h"

#include <inttypes.h>
#include <string.h>

enum job_state
{
  JOB_WAITING,
  JOB_READING,
  JOB_WRITING,
  JOB_CANCELLED /* struct confapply is finished; the reply to the pending KV
                   call frees the job. */
};

struct confapply_job
{
  struct list node;
  struct confapply *apply;
  struct sheet sheet;
  char *operator_name;
  confapply_done done;
  void *data;

  enum job_state state;
  int64_t read_due_ns;
  int64_t deadline_ns;
  unsigned failures;
  unsigned txns_sent;
  bool may_be_stored; /* Whether a transaction got no reply, so that it may
                         have been executed. */
  /* The newer of the stored configuration and the one in force. */
  struct config *latest;
  uint64_t root_kv_revision; /* Revision of the root document in the KV
                                service; 0 if there is none. */
  /* Configuration revision in the root document. */
  uint64_t root_config_revision;
  struct merge merge;
  bool merged;
};

static void
job_drop_merge (struct confapply_job *job)
{
  if (job->merged)
    merge_finish (&job->merge);
  job->merged = false;
}

static void
job_free (struct confapply_job *job)
{
  job_drop_merge (job);
  config_unref (job->latest);
  sheet_finish (&job->sheet);
  g_free (job->operator_name);
  g_free (job);
}

static void
job_report (struct confapply_job *job, enum status status, uint64_t revision)
{
  struct confapply_result result = { .status = status,
                                     .revision = revision,
                                     .txn_count = job->txns_sent };

  result.merge = job->merged ? &job->merge : NULL;
  log_event (job->apply->configstore->log, EVENT_SHEET_APPLIED,
             "status=%s revision=%" PRIu64 " sheet=%s operator=%s tries=%u",
             status_name (status), revision, job->sheet.digest,
             job->operator_name, job->txns_sent);
  job->done (job->data, &result);
}

static void
job_finish (struct confapply_job *job, enum status status, uint64_t revision)
{
  list_remove (&job->node);
  job_report (job, status, revision);
  job_free (job);
}

/* Schedules a retry, or ends the job if its deadline has passed. */
static void
job_retry_later (struct confapply_job *job)
{
  const struct configstore *configstore = job->apply->configstore;
  int64_t now_ns = clock_now (configstore->clock);

  if (now_ns >= job->deadline_ns)
    {
      job_finish (job,
                  job->may_be_stored ? STATUS_UNKNOWN : STATUS_UNAVAILABLE, 0);
      return;
    }
  job->state = JOB_WAITING;
  job->read_due_ns
      = now_ns + configstore_backoff_ns (configstore, ++job->failures);
}

static GArray *
job_config_writes (const struct confapply_job *job)
{
  const struct config *result = job->merge.result;
  GArray *writes = g_array_new (FALSE, TRUE, sizeof (struct kv_write));
  GPtrArray *documents = config_documents (result);
  struct kv_write write
      = { g_strdup (CONFTEXT_ROOT_KEY), conftext_root (result), 0 };

  g_array_append_val (writes, write);
  for (guint i = 0; i < documents->len; i++)
    {
      const struct confdoc *document = documents->pdata[i];

      if (document->revision <= job->root_config_revision)
        continue;
      write.key = g_strconcat (CONFTEXT_DOCUMENT_PREFIX, document->name, NULL);
      write.value = g_strdup (document->text);
      g_array_append_val (writes, write);
    }
  g_ptr_array_unref (documents);
  return writes;
}

static void
job_add_history_writes (const struct confapply_job *job, GArray *writes)
{
  const struct confapply *apply = job->apply;
  uint64_t revision = job->merge.result->revision;
  char key[CONFHISTORY_KEY_MAX];
  struct kv_write write = { .lease = 0 };

  confhistory_key (revision, key);
  write.key = g_strdup (key);
  write.value
      = confhistory_text (&job->merge, job->sheet.digest, job->operator_name,
                          clock_wall (apply->configstore->clock).tv_sec);
  g_array_append_val (writes, write);
  if (revision <= apply->settings->history_revisions_max)
    return;
  confhistory_key (revision - apply->settings->history_revisions_max, key);
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
on_txn_reply (void *data, const struct kv_reply *reply)
{
  struct confapply_job *job = data;

  if (job->state == JOB_CANCELLED)
    {
      job_free (job);
      return;
    }
  switch (reply->status)
    {
    case STATUS_OK:
      configstore_set_if_newer (job->apply->configstore, job->merge.result);
      job_finish (job, STATUS_OK, job->merge.result->revision);
      return;
    case STATUS_TOO_LARGE:
      job_finish (job, STATUS_TOO_LARGE, 0);
      return;
    case STATUS_UNKNOWN:
    case STATUS_CANCELLED:
      job->may_be_stored = true;
      job_retry_later (job);
      return;
    default:
      job_retry_later (job);
    }
}

static void
job_write (struct confapply_job *job)
{
  struct kv *kv = job->apply->configstore->kv;
  struct kv_compare compare = { CONFTEXT_ROOT_KEY, job->root_kv_revision };
  struct kv_txn txn = { .compares = &compare, .compare_count = 1 };
  GArray *writes = job_config_writes (job);

  job_add_history_writes (job, writes);
  txn.writes = (const struct kv_write *)(void *)writes->data;
  txn.write_count = writes->len;
  job->state = JOB_WRITING;
  job->txns_sent++;
  kv->ops->txn (kv, &txn, on_txn_reply, job);
  writes_free (writes);
}

/* Finishes the job if one of its transactions was executed although the reply
   was lost: the root's list of applied sheets then contains this sheet. */
static bool
job_finish_if_stored (struct confapply_job *job)
{
  uint64_t revision = config_sheet_revision (job->latest, job->sheet.digest);

  if (!job->may_be_stored || !job->merged || job->merge.result == NULL
      || revision < job->merge.result->revision)
    return false;
  job_finish (job, STATUS_OK, revision);
  return true;
}

static void
job_merge_latest (struct confapply_job *job)
{
  if (job_finish_if_stored (job))
    return;
  job_drop_merge (job);
  merge_init (&job->merge, &job->sheet, job->latest);
  job->merged = true;
  if (job->merge.result == NULL)
    job_finish (job, STATUS_OK, job->latest->revision);
  else
    job_write (job);
}

static void
job_set_latest (struct confapply_job *job, struct config *config)
{
  config_unref (job->latest);
  job->latest = config;
}

/* Sets `latest` to the newer of STORED and the configuration in force. The
   latter is newer if the KV service has lost writes; the next change stores
   them again. */
static void
job_choose_latest (struct confapply_job *job, struct config *stored)
{
  struct configstore *configstore = job->apply->configstore;

  job->root_config_revision = stored->revision;
  configstore_set_if_newer (configstore, stored);
  if (configstore->config != NULL
      && configstore->config->revision > stored->revision)
    {
      job_set_latest (job, config_ref (configstore->config));
      config_unref (stored);
    }
  else
    job_set_latest (job, stored);
}

static uint64_t
reply_root_revision (const struct kv_reply *reply)
{
  for (size_t i = 0; i < reply->item_count; i++)
    if (strcmp (reply->items[i].key, CONFTEXT_ROOT_KEY) == 0)
      return reply->items[i].revision;
  return 0;
}

static enum status
job_load_reply (struct confapply_job *job, const struct kv_reply *reply,
                struct config **stored)
{
  GArray *items = configstore_reply_items (reply);
  struct error error;
  enum status status = conftext_load (
      stored, job->apply->configstore->config,
      (const struct conftext_item *)(void *)items->data, items->len, &error);

  g_array_unref (items);
  return status;
}

static void
on_range_reply (void *data, const struct kv_reply *reply)
{
  struct confapply_job *job = data;
  struct config *stored;

  if (job->state == JOB_CANCELLED)
    {
      job_free (job);
      return;
    }
  if (reply->status != STATUS_OK)
    {
      job_retry_later (job);
      return;
    }
  job->root_kv_revision = reply_root_revision (reply);
  if (job->root_kv_revision == 0)
    stored = config_new_empty ();
  else if (job_load_reply (job, reply, &stored) != STATUS_OK)
    {
      job_retry_later (job);
      return;
    }
  job_choose_latest (job, stored);
  job_merge_latest (job);
}

static void
on_root_reply (void *data, const struct kv_reply *reply)
{
  struct confapply_job *job = data;
  struct kv *kv = NULL;
  struct config *stored;

  if (job->state == JOB_CANCELLED)
    {
      job_free (job);
      return;
    }
  kv = job->apply->configstore->kv;
  if (reply->status == STATUS_OK
      && job_load_reply (job, reply, &stored) == STATUS_OK)
    {
      job->root_kv_revision = reply_root_revision (reply);
      job_choose_latest (job, stored);
      job_merge_latest (job);
    }
  else if (reply->status == STATUS_OK || reply->status == STATUS_NOT_FOUND)
    kv->ops->range (kv, CONFTEXT_PREFIX, on_range_reply, job);
  else
    job_retry_later (job);
}

static void
job_read_root (struct confapply_job *job)
{
  struct kv *kv = job->apply->configstore->kv;

  job->state = JOB_READING;
  kv->ops->get (kv, CONFTEXT_ROOT_KEY, on_root_reply, job);
}

static struct confapply_job *
first_job (const struct confapply *apply)
{
  if (list_empty (&apply->jobs))
    return NULL;
  return LIST_ENTRY (apply->jobs.next, struct confapply_job, node);
}

void
confapply_init (struct confapply *apply,
                const struct confapply_settings *settings,
                struct configstore *configstore)
{
  apply->settings = settings;
  apply->configstore = configstore;
  list_init (&apply->jobs);
}

void
confapply_finish (struct confapply *apply)
{
  struct confapply_job *job;

  while ((job = first_job (apply)) != NULL)
    {
      bool call_pending = job->state != JOB_WAITING;

      list_remove (&job->node);
      job_report (job, STATUS_CANCELLED, 0);
      job->state = JOB_CANCELLED;
      if (!call_pending)
        job_free (job);
    }
}

void
confapply_submit (struct confapply *apply, const char *text, size_t size,
                  const char *operator_name, confapply_done done, void *data)
{
  struct confapply_job *job = g_new0 (struct confapply_job, 1);
  int64_t now_ns = clock_now (apply->configstore->clock);

  job->apply = apply;
  job->operator_name = g_strdup (operator_name);
  job->done = done;
  job->data = data;
  job->read_due_ns = now_ns;
  job->deadline_ns = now_ns + apply->settings->timeout_ns;
  sheet_init (&job->sheet, text, size);
  list_append (&apply->jobs, &job->node);
}

void
confapply_tick (struct confapply *apply)
{
  struct confapply_job *job = first_job (apply);

  if (job != NULL && job->state == JOB_WAITING
      && clock_now (apply->configstore->clock) >= job->read_due_ns)
    job_read_root (job);
}

int64_t
confapply_next_tick_ns (const struct confapply *apply)
{
  const struct confapply_job *job = first_job (apply);

  if (job == NULL || job->state != JOB_WAITING)
    return CLOCK_NEVER;
  return job->read_due_ns;
}
