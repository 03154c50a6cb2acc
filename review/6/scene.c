#include "../stage-2/stage.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Two models on each of twelve engines get new weights at the same time. */

enum
{
  ENGINES = 12,
  MODELS = 2,
  LOAD_MS = 300,
  VERSION_MS = 6000,
  VERSION_ALL_MS = 8400,
  ROUNDS = 3, /* Requests for each model between two heartbeats. */
  LENGTH_S = 30
};

static const char *const model_names[MODELS] = { "lynx", "otter" };

struct machine
{
  struct stage_engine engine;
  pthread_mutex_t lock;
  unsigned versions[MODELS];
  unsigned orders;
  uint64_t token;
  double busy_until_s;
  int loading; /* Model of the order that is carried out; -1: none. */
  unsigned loading_version;
};

static struct machine machines[ENGINES];
static unsigned named[MODELS]; /* Newest versions that the operator named. */
static const unsigned first_named[MODELS] = { 3, 1 };
static const unsigned next_named[MODELS] = { 4, 2 };
static double named_s[MODELS];

static int
model_index (const char *name)
{
  for (int i = 0; i < MODELS; i++)
    if (strcmp (name, model_names[i]) == 0)
      return i;
  return -1;
}

static void
models_write (struct machine *machine)
{
  g_snprintf (machine->engine.models, sizeof machine->engine.models,
              "[{\"name\":\"%s\",\"version\":%u,\"adapters\":[]},"
              "{\"name\":\"%s\",\"version\":%u,\"adapters\":[]}]",
              model_names[0], machine->versions[0], model_names[1],
              machine->versions[1]);
}

/* Finish the order that is carried out, if its time is over. */
static void
machine_update (struct machine *machine)
{
  if (machine->loading < 0 || stage_seconds () < machine->busy_until_s)
    return;
  machine->versions[machine->loading] = machine->loading_version;
  stage_note ("engine %s has %s version %u", machine->engine.id,
              model_names[machine->loading], machine->loading_version);
  machine->loading = -1;
  models_write (machine);
}

static int
order_accept (struct machine *machine, struct json_object *order)
{
  const char *name
      = json_object_get_string (json_object_object_get (order, "model"));
  unsigned version = (unsigned)json_object_get_int (
      json_object_object_get (order, "version"));
  uint64_t token = json_object_get_uint64 (
      json_object_object_get (order, "fencingToken"));
  struct json_object *expected = json_object_object_get (order, "expected");
  int model = model_index (name);
  int status = 202;

  if (token < machine->token)
    status = 412;
  else if (model < 0 || version < first_named[model] || version > named[model])
    status = 400;
  else if (machine->versions[model] == version)
    status = 200;
  else if (machine->loading >= 0
           || (expected != NULL
               && json_object_get_uint64 (expected) != machine->orders))
    status = 409;
  stage_note ("engine %s is ordered %s version %u, token %lu: %d",
              machine->engine.id, name, version, (unsigned long)token, status);
  if (status != 202)
    return status;
  machine->token = token;
  machine->orders++;
  machine->loading = model;
  machine->loading_version = version;
  machine->busy_until_s = stage_seconds () + LOAD_MS / 1000.0;
  return status;
}

static bool
machine_control (struct stage_engine *engine, int fd,
                 const struct stage_message *request)
{
  struct machine *machine = (struct machine *)engine;
  char *body;

  pthread_mutex_lock (&machine->lock);
  machine_update (machine);
  if (g_str_has_prefix (request->head, "POST"))
    {
      struct json_object *order = json_tokener_parse (request->body->str);

      stage_answer (fd, order_accept (machine, order),
                    "Content-Type: application/json\r\n", "{}");
      json_object_put (order);
    }
  else
    {
      body = g_strdup_printf (
          "{\"stage\":\"colocated\",\"models\":%s,\"busy\":%s,\"sequence\":%u,"
          "\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":78000,"
          "\"handles\":0}",
          engine->models, machine->loading >= 0 ? "true" : "false",
          machine->orders);
      stage_answer (fd, 200, "Content-Type: application/json\r\n", body);
      g_free (body);
    }
  pthread_mutex_unlock (&machine->lock);
  return true;
}

static bool
machine_run (struct stage_engine *engine, int fd,
             const struct stage_message *request)
{
  struct machine *machine = (struct machine *)engine;
  char *name = stage_field (request, "X-Model");
  char *expected = stage_field (request, "X-Expect-Version");
  char *id = stage_field (request, "X-Request-Id");
  int model = model_index (name);
  bool loads;
  unsigned version;
  char *fields;

  pthread_mutex_lock (&machine->lock);
  machine_update (machine);
  loads = machine->loading == model;
  version = machine->versions[model];
  pthread_mutex_unlock (&machine->lock);
  fields = g_strdup_printf ("X-Request-Id: %s\r\nX-Instance-Id: %s\r\n"
                            "X-Weight-Versions: %u\r\n%s",
                            id, engine->id, version,
                            loads ? "X-Not-Executed: 1\r\n" : "");
  if (loads)
    stage_answer (fd, 503, fields, "");
  else if (expected[0] != '\0' && (unsigned)atoi (expected) != version)
    stage_answer (fd, 421, fields, "");
  else
    {
      char *all = g_strdup_printf ("Content-Type: text/event-stream\r\n"
                                   "X-Response-Seal: %s.%s\r\n%s",
                                   id, engine->id, fields);

      stage_note ("request %s begins at engine %s on %s version %u", id,
                  engine->id, name, version);
      if (named_s[model] > 0 && version < named[model]
          && stage_seconds () > named_s[model] + VERSION_MS / 1000.0)
        stage_note ("  which is older than named %.1f s ago",
                    stage_seconds () - named_s[model]);
      stage_answer (fd, 200, all, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
      g_free (all);
    }
  g_free (fields);
  g_free (id);
  g_free (expected);
  g_free (name);
  return true;
}

/* Name VERSIONS of the first COUNT models in one transaction. */
static void
versions_name (const unsigned *versions, unsigned count)
{
  char *keys[MODELS] = { NULL };
  char *values[MODELS] = { NULL };

  for (unsigned i = 0; i < count; i++)
    {
      keys[i] = g_strdup_printf ("op/version/%s", model_names[i]);
      values[i] = g_strdup_printf ("{\"model\":\"%s\",\"version\":%u}",
                                   model_names[i], versions[i]);
      named[i] = versions[i];
      stage_note ("the operator names %s version %u", model_names[i],
                  versions[i]);
    }
  stage_store_put_all ((const char *const *)keys, (const char *const *)values,
                       count);
  for (unsigned i = 0; i < count; i++)
    {
      g_free (keys[i]);
      g_free (values[i]);
    }
}

static void
config_put (void)
{
  stage_store_put (
      "op/config",
      "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"hostname\":"
      "\"a.example\",\"prefix\":\"/p/\",\"routeType\":\"streaming\","
      "\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":0,"
      "\"backend\":\"llm\",\"attempts\":2,\"public\":false,\"sticky\":true,"
      "\"resumable\":true,\"gapTargetMs\":400}],\"backends\":[{\"name\":"
      "\"llm\",\"healthPath\":\"/health\",\"maxConns\":360,\"engine\":"
      "{\"slots\":64,\"kvCapacity\":78000}}]," STAGE_CONFIG_LIMITS
      ",\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key-1\"],"
      "\"priority\":1}]}");
}

static int
request_send (const struct stage_host *host, unsigned number, int model)
{
  char *text = g_strdup_printf (
      "POST /p/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: q%u\r\n"
      "X-Model: %s\r\nX-Token-Count: 500,5\r\n"
      "X-Prompt-Prefix: 5c1e07a2:400,%x:100\r\nX-Request-Deadline: 3000\r\n"
      "X-Api-Key: key-1\r\nContent-Length: 2\r\n\r\nhi",
      number, model_names[model], 0x10000 + number);
  struct stage_message *response = stage_call (host->front, text, 4000);
  int status = stage_status (response);

  stage_note ("request q%u (%s) is answered %d", number, model_names[model],
              status);
  stage_message_free (response);
  g_free (text);
  return status;
}

/* Engines that still have an older version of MODEL. */
static unsigned
outdated_count (int model)
{
  unsigned count = 0;

  for (int i = 0; i < ENGINES; i++)
    {
      pthread_mutex_lock (&machines[i].lock);
      machine_update (&machines[i]);
      count += machines[i].versions[model] < named[model];
      pthread_mutex_unlock (&machines[i].lock);
    }
  return count;
}

static void
machines_start (void)
{
  static const char *const zones[4]
      = { "kolkata-north", "kolkata-south", "howrah", "siliguri" };

  for (int i = 0; i < ENGINES; i++)
    {
      struct machine *machine = &machines[i];

      pthread_mutex_init (&machine->lock, NULL);
      memcpy (machine->versions, first_named, sizeof first_named);
      machine->loading = -1;
      models_write (machine);
      g_snprintf (machine->engine.id, sizeof machine->engine.id, "i-%d", i);
      g_strlcpy (machine->engine.service, "llm", STAGE_NAME_MAX);
      g_strlcpy (machine->engine.zone, zones[i % 4], STAGE_NAME_MAX);
      machine->engine.run = machine_run;
      machine->engine.control = machine_control;
      stage_engine_start (&machine->engine);
    }
}

int
main (int argc, char **argv)
{
  struct stage_host hosts[2];
  bool broken = false;
  unsigned number = 0;
  double began_s;
  unsigned served[MODELS] = { 0 }, late[MODELS] = { 0 }, lost[MODELS] = { 0 };

  stage_record_open (argc > 1 ? argv[1] : "record.txt");
  stage_store_start ();
  config_put ();
  versions_name (first_named, MODELS);
  machines_start ();
  stage_host_start (&hosts[0], "front-kolkata-north-1", "kolkata-north");
  stage_host_start (&hosts[1], "front-howrah-1", "howrah");
  if (!stage_host_wait (&hosts[0]) || !stage_host_wait (&hosts[1]))
    return 2;
  stage_sleep (5);
  began_s = stage_seconds ();
  while (stage_seconds () - began_s < LENGTH_S)
    {
      double t = stage_seconds () - began_s;

      if (t >= 4 && named_s[0] <= 0)
        {
          unsigned count = stage_is_calm () ? 1 : MODELS;

          versions_name (next_named, count);
          for (unsigned i = 0; i < count; i++)
            named_s[i] = stage_seconds ();
        }
      for (unsigned i = 0; i < ROUNDS; i++)
        for (int model = 0; model < MODELS; model++)
          {
            bool is_late
                = named_s[model] > 0
                  && stage_seconds () > named_s[model] + VERSION_MS / 1000.0;
            int status = request_send (&hosts[i % 2], number++, model);

            served[model] += status == 200;
            late[model] += is_late;
            lost[model] += is_late && status != 200;
          }
      for (int i = 0; i < ENGINES; i++)
        {
          pthread_mutex_lock (&machines[i].lock);
          machine_update (&machines[i]);
          stage_engine_beat (&machines[i].engine);
          pthread_mutex_unlock (&machines[i].lock);
        }
      stage_sleep (0.6);
    }
  for (int model = 0; model < MODELS; model++)
    {
      unsigned outdated = outdated_count (model);

      stage_note ("%s: newest named %u, %u of %d engines still have an older "
                  "one; %u requests served; of %u that were sent over %d ms "
                  "after the naming %u were not served",
                  model_names[model], named[model], outdated, ENGINES,
                  served[model], late[model], VERSION_MS, lost[model]);
      broken
          = broken
            || (named_s[model] > 0 && outdated > 1 && outdated * 10 > ENGINES);
    }
  stage_note ("they were named %.1f s before the end; bounds %.1f s and %.1f "
              "s: VERSION is %s",
              stage_seconds () - named_s[0], 1.5 * VERSION_MS / 1000,
              VERSION_ALL_MS / 1000.0, broken ? "broken" : "kept");
  for (int i = 0; i < 2; i++)
    {
      if (!stage_host_is_running (&hosts[i]))
        {
          stage_note ("%s has ended by itself", hosts[i].name);
          broken = true;
        }
      stage_host_kill (&hosts[i]);
    }
  return broken ? 1 : 0;
}
