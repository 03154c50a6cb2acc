#include "ask.h"

#include <assert.h>
#include <glib.h>

static void
grantrequest_free (void *data)
{
  struct ask *grant = data;

  list_remove (&grant->node);
  g_free ((char *)grant->request.organisation);
  g_free ((char *)grant->request.key);
  g_free ((uint8_t *)grant->outcome.body);
  g_free (grant);
}

static struct ask *
grantrequest_find (const struct asks *grants, uint64_t request)
{
  return g_hash_table_lookup (grants->requests_by_id, &request);
}

static void
grantrequest_schedule (struct asks *grants, struct ask *grant, int64_t at_ns)
{
  grant->next_step_ns = at_ns;
  grants->next_due_ns = MIN (grants->next_due_ns, at_ns);
}

static void
grantrequest_send (struct asks *grants, struct ask *grant)
{
  int64_t retry_at_ns = clock_now (grants->clock) + grants->settings.again_ns;

  if (grant->state == ASK_WAITING)
    retry_at_ns = MIN (retry_at_ns, grant->deadline_ns);
  grantrequest_schedule (grants, grant, retry_at_ns);
  grants->ops->send (grants, grant);
}

static void
grantrequest_close (struct asks *grants, struct ask *grant)
{
  grant->state = ASK_CLOSED;
  grant->expiry_ns = clock_now (grants->clock) + grants->settings.keep_ns;
  grantrequest_schedule (grants, grant, grant->expiry_ns);
}

static void
grantrequest_report (struct asks *grants, struct ask *grant, bool ends)
{
  grant->state = ASK_TELLING;
  grant->ends = ends;
  grant->expiry_ns = clock_now (grants->clock) + grants->settings.tell_ns;
  grantrequest_send (grants, grant);
}

static void
grantrequest_copy_outcome (struct ask *grant,
                           const struct once_outcome *outcome)
{
  grant->outcome = *outcome;
  grant->outcome.whole = outcome->whole && outcome->body_size <= ONCE_BODY_MAX;
  if (!grant->outcome.whole)
    grant->outcome.body_size = 0;
  grant->outcome.body = g_memdup2 (outcome->body, grant->outcome.body_size);
}

/* A refusal by an owner that does not know whether the key was used is not
 * final: until the deadline the grant is requested again, perhaps from another
 * owner. */
static bool
reply_is_final (const struct once_answer *reply)
{
  return reply->result != ONCE_REFUSED || !reply->key_unknown;
}

static void
grantrequest_time_out (struct asks *grants, struct ask *grant)
{
  struct once_answer reply = {
    .request = grant->request.request,
    .gateway = grant->request.gateway,
    .result = ONCE_REFUSED,
    .key_unknown = true,
    .retry_after_ns = grants->settings.again_ns,
  };

  /* asks_end opens it again if a release has to be reported. */
  grantrequest_close (grants, grant);
  grants->ops->answer (grants, grant, &reply);
}

/* Does what is due for GRANT.
 * @return whether GRANT is to be freed. */
static bool
grantrequest_step (struct asks *grants, struct ask *grant)
{
  int64_t now = clock_now (grants->clock);

  switch (grant->state)
    {
    case ASK_WAITING:
      if (now >= grant->deadline_ns)
        grantrequest_time_out (grants, grant);
      else
        grantrequest_send (grants, grant);
      return false;
    case ASK_TELLING:
      if (now < grant->expiry_ns)
        {
          grantrequest_send (grants, grant);
          return false;
        }
      grants->unrecorded_count++;
      return true;
    case ASK_CLOSED:
      return now >= grant->expiry_ns;
    default:
      return false;
    }
}

static bool
grantrequest_is_scheduled (const struct ask *grant)
{
  return grant->state != ASK_HOLDING
         && !(grant->state == ASK_CLOSED && grant->data != NULL);
}

static int64_t
grantrequests_first_due_ns (const struct asks *grants)
{
  int64_t next = CLOCK_NEVER;

  for (const struct list *at = grants->requests.next; at != &grants->requests;
       at = at->next)
    {
      const struct ask *grant = LIST_ENTRY (at, struct ask, node);

      if (grantrequest_is_scheduled (grant))
        next = MIN (next, grant->next_step_ns);
    }
  return next;
}

void
asks_init (struct asks *grants, const struct ask_settings *settings,
           const struct ask_ops *ops, const struct clock *clock,
           unsigned partition_count)
{
  *grants = (struct asks){
    .settings = *settings,
    .ops = ops,
    .clock = clock,
    .partition_count = partition_count,
    .next_due_ns = CLOCK_NEVER,
  };
  list_init (&grants->requests);
  grants->requests_by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                  NULL, grantrequest_free);
}

void
asks_finish (struct asks *grants)
{
  g_hash_table_destroy (grants->requests_by_id);
}

struct ask *
asks_begin (struct asks *grants, const struct once_request *request,
            const struct once_digest *fingerprint, int64_t deadline_ns,
            void *data)
{
  struct ask *grant = g_new0 (struct ask, 1);

  assert (data != NULL
          && grantrequest_find (grants, request->request) == NULL);
  grant->request = *request;
  grant->request.organisation = g_strdup (request->organisation);
  grant->request.key = g_strdup (request->key);
  grant->fingerprint = *fingerprint;
  grant->partition = owner_partition (request->organisation, request->key,
                                      grants->partition_count);
  grant->deadline_ns = deadline_ns;
  grant->data = data;
  list_append (&grants->requests, &grant->node);
  g_hash_table_insert (grants->requests_by_id, &grant->request.request, grant);
  grantrequest_send (grants, grant);
  return grant;
}

void
asks_end (struct asks *grants, struct ask *grant, enum settle_record record,
          const struct once_outcome *outcome)
{
  grant->data = NULL;
  if (record == SETTLE_RECORD_END)
    grantrequest_copy_outcome (grant, outcome);
  if (record == SETTLE_RECORD_NONE)
    grantrequest_close (grants, grant);
  else
    grantrequest_report (grants, grant, record == SETTLE_RECORD_END);
}

void
asks_answer (struct asks *grants, const struct once_answer *reply)
{
  struct ask *grant = grantrequest_find (grants, reply->request);
  bool granted = reply->result == ONCE_GRANTED;

  if (grant == NULL)
    return;
  if (grant->state == ASK_WAITING && reply_is_final (reply))
    {
      if (granted)
        grant->state = ASK_HOLDING;
      else
        grantrequest_close (grants, grant);
      grants->ops->answer (grants, grant, reply);
    }
  else if (grant->state == ASK_CLOSED && grant->data == NULL && granted
           && !grant->ends)
    {
      grants->late_grant_count++;
      grantrequest_report (grants, grant, false);
    }
}

void
asks_recorded (struct asks *grants, uint64_t request, enum status status)
{
  struct ask *grant = grantrequest_find (grants, request);

  if (grant != NULL && grant->state == ASK_TELLING
      && status != STATUS_UNAVAILABLE)
    grantrequest_close (grants, grant);
}

void
asks_tick (struct asks *grants)
{
  int64_t now = clock_now (grants->clock);

  if (now < grants->next_due_ns)
    return;
  for (struct list *at = grants->requests.next, *next; at != &grants->requests;
       at = next)
    {
      struct ask *grant = LIST_ENTRY (at, struct ask, node);

      next = at->next;
      if (grantrequest_is_scheduled (grant) && now >= grant->next_step_ns
          && grantrequest_step (grants, grant))
        g_hash_table_remove (grants->requests_by_id, &grant->request.request);
    }
  grants->next_due_ns = grantrequests_first_due_ns (grants);
}

int64_t
asks_next (const struct asks *grants)
{
  return grants->next_due_ns;
}

bool
asks_idle (const struct asks *grants)
{
  for (const struct list *at = grants->requests.next; at != &grants->requests;
       at = at->next)
    if (LIST_ENTRY (at, struct ask, node)->state != ASK_CLOSED)
      return false;
  return true;
}
