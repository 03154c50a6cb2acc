#include "stage.h"

#include <stdio.h>
#include <string.h>

static bool
health_answer (const struct stage_engine *engine, int fd)
{
  char *fields = g_strdup_printf ("X-Instance-Id: %s\r\n", engine->id);

  stage_answer (fd, 200, fields, "");
  g_free (fields);
  return true;
}

static bool
is_for_engine (const struct stage_engine *engine,
               const struct stage_message *request)
{
  char *expected = stage_field (request, "X-Expect-Instance");
  bool is = expected[0] == '\0' || strcmp (expected, engine->id) == 0;

  g_free (expected);
  return is;
}

static bool
engine_handle (void *data, int fd, const struct stage_message *request)
{
  struct stage_engine *engine = data;
  char target[2048] = "";

  sscanf (request->head, "%*s %2047s", target);
  if (strcmp (target, "/health") == 0)
    return health_answer (engine, fd);
  if (!is_for_engine (engine, request))
    {
      char *fields = g_strdup_printf ("X-Instance-Id: %s\r\n", engine->id);

      stage_answer (fd, 421, fields, "");
      g_free (fields);
      return true;
    }
  if (strcmp (target, "/report") == 0 || strcmp (target, "/order") == 0)
    return engine->control != NULL ? engine->control (engine, fd, request)
                                   : health_answer (engine, fd);
  return engine->run (engine, fd, request);
}

void
stage_engine_beat (struct stage_engine *engine)
{
  char *key = g_strdup_printf ("servers/%s", engine->id);
  char *value = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,"
      "\"stage\":\"colocated\",\"models\":%s,\"sequence\":%u,\"born\":%u}",
      engine->service, engine->server.port, engine->zone,
      engine->models[0] != '\0' ? engine->models : "[]", ++engine->writes,
      1000 + engine->starts);

  stage_store_put (key, value);
  g_free (value);
  g_free (key);
}

void
stage_engine_start (struct stage_engine *engine)
{
  if (engine->server.port == 0)
    stage_server_init (&engine->server, stage_port_find (), engine_handle,
                       engine);
  engine->starts++;
  engine->writes = 0;
  stage_server_start (&engine->server);
  engine->up = true;
  stage_engine_beat (engine);
}

void
stage_engine_crash (struct stage_engine *engine)
{
  engine->up = false;
  stage_server_stop (&engine->server);
}

void
stage_engine_succeed (const struct stage_engine *engine, int fd,
                      const struct stage_message *request, const char *fields,
                      const char *body)
{
  char *id = stage_field (request, "X-Request-Id");
  char *all = g_strdup_printf ("X-Request-Id: %s\r\nX-Response-Seal: %s.%s\r\n"
                               "%s",
                               id, id, engine->id, fields);

  stage_answer (fd, 200, all, body);
  g_free (all);
  g_free (id);
}
