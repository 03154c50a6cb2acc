#include "ask.h"

#include <assert.h>
#include <glib.h>

static void
ask_free (void *data)
{
  struct ask *ask = data;

  list_remove (&ask->node);
  g_free ((char *)ask->request.organisation);
  g_free ((char *)ask->request.key);
  g_free ((uint8_t *)ask->outcome.body);
  g_free (ask);
}

static struct ask *
ask_find (const struct asks *asks, uint64_t request)
{
  return g_hash_table_lookup (asks->by_request, &request);
}

static void
ask_wait_until (struct asks *asks, struct ask *ask, int64_t at_ns)
{
  ask->next_ns = at_ns;
  asks->next_ns = MIN (asks->next_ns, at_ns);
}

static void
ask_send (struct asks *asks, struct ask *ask)
{
  int64_t again = clock_now (asks->clock) + asks->settings.again_ns;

  if (ask->state == ASK_WAITING)
    again = MIN (again, ask->deadline_ns);
  ask_wait_until (asks, ask, again);
  asks->ops->send (asks, ask);
}

static void
ask_close (struct asks *asks, struct ask *ask)
{
  ask->state = ASK_CLOSED;
  ask->until_ns = clock_now (asks->clock) + asks->settings.keep_ns;
  ask_wait_until (asks, ask, ask->until_ns);
}

static void
ask_tell (struct asks *asks, struct ask *ask, bool ends)
{
  ask->state = ASK_TELLING;
  ask->ends = ends;
  ask->until_ns = clock_now (asks->clock) + asks->settings.tell_ns;
  ask_send (asks, ask);
}

static void
outcome_copy (struct ask *ask, const struct once_outcome *outcome)
{
  ask->outcome = *outcome;
  ask->outcome.whole = outcome->whole && outcome->body_size <= ONCE_BODY_MAX;
  if (!ask->outcome.whole)
    ask->outcome.body_size = 0;
  ask->outcome.body = g_memdup2 (outcome->body, ask->outcome.body_size);
}

/* An owner that does not know whether the key was used is asked again, or
 * another one, while there is time. */
static bool
answer_is_final (const struct once_answer *answer)
{
  return answer->result != ONCE_REFUSED || !answer->key_unknown;
}

static void
ask_timeout (struct asks *asks, struct ask *ask)
{
  struct once_answer answer = {
    .request = ask->request.request,
    .gateway = ask->request.gateway,
    .result = ONCE_REFUSED,
    .key_unknown = true,
    .retry_after_ns = asks->settings.again_ns,
  };

  /* Until asks_end says more. */
  ask_close (asks, ask);
  asks->ops->answer (asks, ask, &answer);
}

/* @return whether ASK is done with. */
static bool
ask_step (struct asks *asks, struct ask *ask)
{
  int64_t now = clock_now (asks->clock);

  switch (ask->state)
    {
    case ASK_WAITING:
      if (now >= ask->deadline_ns)
        ask_timeout (asks, ask);
      else
        ask_send (asks, ask);
      return false;
    case ASK_TELLING:
      if (now < ask->until_ns)
        {
          ask_send (asks, ask);
          return false;
        }
      asks->untold++;
      return true;
    case ASK_CLOSED:
      return now >= ask->until_ns;
    default:
      return false;
    }
}

static bool
ask_waits (const struct ask *ask)
{
  return ask->state != ASK_HOLDING
         && !(ask->state == ASK_CLOSED && ask->data != NULL);
}

static int64_t
asks_first_due (const struct asks *asks)
{
  int64_t next = CLOCK_NEVER;

  for (const struct list *at = asks->list.next; at != &asks->list;
       at = at->next)
    {
      const struct ask *ask = LIST_ENTRY (at, struct ask, node);

      if (ask_waits (ask))
        next = MIN (next, ask->next_ns);
    }
  return next;
}

void
asks_init (struct asks *asks, const struct ask_settings *settings,
           const struct ask_ops *ops, const struct clock *clock,
           unsigned partitions)
{
  *asks = (struct asks){
    .settings = *settings,
    .ops = ops,
    .clock = clock,
    .partitions = partitions,
    .next_ns = CLOCK_NEVER,
  };
  list_init (&asks->list);
  asks->by_request
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, ask_free);
}

void
asks_finish (struct asks *asks)
{
  g_hash_table_destroy (asks->by_request);
}

struct ask *
asks_begin (struct asks *asks, const struct once_request *request,
            const struct once_digest *fingerprint, int64_t deadline_ns,
            void *data)
{
  struct ask *ask = g_new0 (struct ask, 1);

  assert (data != NULL && ask_find (asks, request->request) == NULL);
  ask->request = *request;
  ask->request.organisation = g_strdup (request->organisation);
  ask->request.key = g_strdup (request->key);
  ask->fingerprint = *fingerprint;
  ask->partition = owner_partition (request->organisation, request->key,
                                    asks->partitions);
  ask->deadline_ns = deadline_ns;
  ask->data = data;
  list_append (&asks->list, &ask->node);
  g_hash_table_insert (asks->by_request, &ask->request.request, ask);
  ask_send (asks, ask);
  return ask;
}

void
asks_end (struct asks *asks, struct ask *ask, enum settle_record record,
          const struct once_outcome *outcome)
{
  ask->data = NULL;
  if (record == SETTLE_RECORD_END)
    outcome_copy (ask, outcome);
  if (record == SETTLE_RECORD_NONE)
    ask_close (asks, ask);
  else
    ask_tell (asks, ask, record == SETTLE_RECORD_END);
}

void
asks_answer (struct asks *asks, const struct once_answer *answer)
{
  struct ask *ask = ask_find (asks, answer->request);
  bool granted = answer->result == ONCE_GRANTED;

  if (ask == NULL)
    return;
  if (ask->state == ASK_WAITING && answer_is_final (answer))
    {
      if (granted)
        ask->state = ASK_HOLDING;
      else
        ask_close (asks, ask);
      asks->ops->answer (asks, ask, answer);
    }
  else if (ask->state == ASK_CLOSED && ask->data == NULL && granted
           && !ask->ends)
    {
      asks->late_grants++;
      ask_tell (asks, ask, false);
    }
}

void
asks_recorded (struct asks *asks, uint64_t request, enum status status)
{
  struct ask *ask = ask_find (asks, request);

  if (ask != NULL && ask->state == ASK_TELLING && status != STATUS_UNAVAILABLE)
    ask_close (asks, ask);
}

void
asks_tick (struct asks *asks)
{
  int64_t now = clock_now (asks->clock);

  if (now < asks->next_ns)
    return;
  for (struct list *at = asks->list.next, *next; at != &asks->list; at = next)
    {
      struct ask *ask = LIST_ENTRY (at, struct ask, node);

      next = at->next;
      if (ask_waits (ask) && now >= ask->next_ns && ask_step (asks, ask))
        g_hash_table_remove (asks->by_request, &ask->request.request);
    }
  asks->next_ns = asks_first_due (asks);
}

int64_t
asks_next (const struct asks *asks)
{
  return asks->next_ns;
}

bool
asks_idle (const struct asks *asks)
{
  for (const struct list *at = asks->list.next; at != &asks->list;
       at = at->next)
    if (LIST_ENTRY (at, struct ask, node)->state != ASK_CLOSED)
      return false;
  return true;
}
