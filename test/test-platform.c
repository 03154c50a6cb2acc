#include "decode.h"
#include "dialect-platform.h"
#include "message.h"
#include "unit.h"

#include <string.h>

static const char configuration[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
      "\"prefix\":\"/a/\",\"routeType\":\"streaming\",\"timeoutMs\":15000,"
      "\"targetLatencyMs\":800,\"priority\":1,\"trafficSplit\":[{\"backend\":"
      "\"x\",\"weight\":90},{\"backend\":\"y\",\"weight\":10}],\"attempts\":2,"
      "\"public\":false,\"resumable\":true,\"gapTargetMs\":300,\"new\":1},"
      "{\"name\":\"q\",\"hostname\":\"h.example\",\"prefix\":\"/b/\","
      "\"routeType\":\"non_idempotent\",\"timeoutMs\":800,\"backend\":\"y\","
      "\"attempts\":1,\"public\":true}],\"backends\":[{\"name\":\"s\","
      "\"kvStoreAddr\":\"10.0.0.1:80\",\"zone\":\"z\",\"kvCapacity\":100},"
      "{\"name\":\"x\",\"maxConns\":370,\"engine\":{\"slots\":64,"
      "\"kvCapacity\":94229}}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t\",\"apiKeys\":"
      "[\"k1\",\"k2\"],\"priority\":1,\"isolated\":true}]}";

static const char entry_text[]
    = "{\"backend\":\"x\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,"
      "\"models\":[{\"name\":\"m\",\"version\":3,\"adapters\":[]}],"
      "\"sequence\":4,\"born\":1700000000000}";

static void
test_configuration (void)
{
  struct routes *routes;
  const struct route *route;
  struct error error;

  CU_ASSERT_EQUAL_FATAL (decode_routes (configuration, &routes, &error),
                         STATUS_OK);
  CU_ASSERT_EQUAL (routes->version, 7);
  CU_ASSERT_EQUAL (routes->idle_timeout_ns, 15 * NS_PER_S);
  route = routes_find_route (routes, "h.example", "/a/x");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_EQUAL (route->kind, ROUTE_STREAM);
  CU_ASSERT_TRUE (route->resumable);
  CU_ASSERT_EQUAL (route->servers_max, 2);
  CU_ASSERT_EQUAL (route->latency_target_ns, 800 * NS_PER_MS);
  CU_ASSERT_EQUAL (route->weight_total, 100);
  route = routes_find_route (routes, "h.example", "/b/");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  if (route == NULL)
    return;
  CU_ASSERT_TRUE (route->is_public);
  CU_ASSERT_EQUAL (route->kind, ROUTE_NON_IDEMPOTENT);
  CU_ASSERT_TRUE (routes_find_organisation (routes, "k2")->isolated);
  CU_ASSERT_TRUE (routes_find_service (routes, "s")->is_store);
  CU_ASSERT_EQUAL (routes_find_service (routes, "x")->kv_capacity_tokens,
                   94229);
  routes_unref (routes);
}

/* Numbers of the operator that are fractions, very small or very large were
 * read as 0 or as something else, or the configuration was refused. */
static void
test_odd_numbers (void)
{
  static const struct
  {
    const char *number;
    unsigned servers_max;
    int64_t timeout_ns;
    double weight;
    uint64_t capacity;
    unsigned priority;
  } rows[] = {
    { "2.5", 2, 2500000, 2.5, 2, 2 },
    { "0.25", 1, 250000, 0.25, 0, 0 },
    { "0", 1, 0, 0, 0, 0 },
    { "1e-9", 1, 0, 1e-9, 0, 0 },
    { "64.0", 64, 64 * NS_PER_MS, 64, 64, 64 },
    { "4294967296", UINT_MAX, 1000000 * NS_PER_S, 4294967296.0, 4294967296,
      UINT_MAX },
    { "1e30", UINT_MAX, 1000000 * NS_PER_S, 1e15, 1000000000000000, UINT_MAX },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const char *number = rows[i].number;
      char *text = g_strdup_printf (
          "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
          "\"prefix\":\"/a/\",\"routeType\":\"streaming\",\"timeoutMs\":%s,"
          "\"priority\":%s,\"attempts\":%s,\"trafficSplit\":[{\"backend\":"
          "\"x\",\"weight\":%s}]}],\"backends\":[{\"name\":\"x\","
          "\"maxConns\":%s,\"engine\":{\"slots\":%s,\"kvCapacity\":%s}}],"
          "\"limits\":{\"maxHeaderBytes\":%s,\"maxBodyBytes\":%s,"
          "\"headerTimeoutMs\":%s,\"idleTimeoutMs\":%s},\"tenants\":"
          "[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"priority\":%s}]}",
          number, number, number, number, number, number, number, number,
          number, number, number, number);
      struct routes *routes = NULL;
      const struct route *route;
      struct error error;

      CU_ASSERT_EQUAL (decode_routes (text, &routes, &error), STATUS_OK);
      g_free (text);
      if (routes == NULL)
        continue;
      route = routes_find_route (routes, "h", "/a/x");
      CU_ASSERT_EQUAL (route->servers_max, rows[i].servers_max);
      CU_ASSERT_EQUAL (route->timeout_ns, rows[i].timeout_ns);
      CU_ASSERT_EQUAL (route->weight_total, rows[i].weight);
      CU_ASSERT_EQUAL (route->priority, rows[i].priority);
      CU_ASSERT_EQUAL (routes_find_service (routes, "x")->kv_capacity_tokens,
                       rows[i].capacity);
      CU_ASSERT_TRUE (routes_find_organisation (routes, "k")->has_priority);
      CU_ASSERT_EQUAL (routes_find_organisation (routes, "k")->priority,
                       rows[i].priority);
      routes_unref (routes);
    }
}

/* A document that is truncated at any place is refused as a whole. */
static void
test_truncated_documents (void)
{
  for (size_t size = 0; size < sizeof configuration - 1; size++)
    {
      char *text = g_strndup (configuration, size);
      struct routes *routes;
      struct error error;

      CU_ASSERT_EQUAL (decode_routes (text, &routes, &error), STATUS_INVALID);
      CU_ASSERT_PTR_NULL (routes);
      g_free (text);
    }
  for (size_t size = 0; size < sizeof entry_text - 1; size++)
    {
      char *text = g_strndup (entry_text, size);
      struct server_entry entry;
      struct error error;

      CU_ASSERT_EQUAL (decode_server_entry ("i", text, &entry, &error),
                       STATUS_INVALID);
      g_free (text);
    }
}

static void
test_entry (void)
{
  struct server_entry entry;
  struct error error;

  CU_ASSERT_EQUAL (decode_server_entry ("i-1", entry_text, &entry, &error),
                   STATUS_OK);
  CU_ASSERT_STRING_EQUAL (entry.service, "x");
  CU_ASSERT_STRING_EQUAL (entry.data_centre, "z");
  CU_ASSERT_EQUAL (entry.heartbeat, 4);
  CU_ASSERT_EQUAL (entry.started_ms, 1700000000000);
  CU_ASSERT_EQUAL (entry.models[0].weight_version, 3);
  CU_ASSERT_FALSE (entry.leaving);
}

/* Registry entries with malformed fields, as another writer may have made
 * them, are refused. */
static void
test_malformed_entries (void)
{
  static const struct
  {
    const char *from;
    const char *to;
  } replacements[] = {
    { "\"ready\"", "\"fine\"" },
    { "\"ready\"", "3" },
    { "\"backend\":\"x\"", "\"backend\":\"\"" },
    { "\"backend\":\"x\"", "\"backend\":7" },
    { "10.0.0.9:8080", "nowhere" },
    { "10.0.0.9:8080", "10.0.0.9:99999" },
    { "\"slots\":64", "\"slots\":\"64\"" },
    { "\"slots\":64", "\"slots\":-1" },
    { "\"version\":3", "\"version\":\"3\"" },
    { "\"version\":\"v1\"", "\"version\":1" },
    { "\"version\":\"v1\"", "\"version\":\"\"" },
    { "\"born\":1700000000000", "\"born\":1.5" },
    { "\"zone\":\"z\"", "\"zone\":[]" },
    { "{\"backend\"", "[{\"backend\"" },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (replacements); i++)
    {
      GString *text = g_string_new (entry_text);
      struct server_entry entry;
      struct error error;

      g_string_replace (text, replacements[i].from, replacements[i].to, 1);
      CU_ASSERT_EQUAL (decode_server_entry ("i", text->str, &entry, &error),
                       STATUS_INVALID);
      g_string_free (text, TRUE);
    }
}

static void
test_wanted_version (void)
{
  char model[SERVER_NAME_MAX];
  uint64_t version;
  struct error error;

  CU_ASSERT_EQUAL (decode_wanted_version ("{\"model\":\"m\",\"version\":2}",
                                          model, &version, &error),
                   STATUS_OK);
  CU_ASSERT_EQUAL (version, 2);
  CU_ASSERT_EQUAL (
      decode_wanted_version ("{\"model\":\"m\"}", model, &version, &error),
      STATUS_INVALID);
}

static void
head_add_field (struct httpfields *head, const char *name, const char *value)
{
  httpfields_append_name (head, name, strlen (name));
  httpfields_append_value (head, value, strlen (value));
}

static void
test_call (void)
{
  struct httpfields head;
  struct call call;
  struct error error;

  httpfields_init (&head);
  head_add_field (&head, "Host", "H.Example:80");
  head_add_field (&head, "X-Request-Id", "r");
  head_add_field (&head, "x-prompt-prefix",
                  "5c1e07a2:800,91bd3f06:410,e4:250");
  head_add_field (&head, "X-Token-Count", "1460,80");
  head_add_field (&head, "X-Request-Deadline", "1500");
  head_add_field (&head, "Last-Event-Id", "12");
  CU_ASSERT_EQUAL (message_request_decode (&head, "/a/b?c", &call, &error),
                   STATUS_OK);
  CU_ASSERT_STRING_EQUAL (call.host, "h.example");
  CU_ASSERT_STRING_EQUAL (call.path, "/a/b");
  CU_ASSERT_EQUAL (call.block_count, 3);
  CU_ASSERT_EQUAL (call.blocks[1].id, 0x91bd3f06);
  CU_ASSERT_EQUAL (call.blocks[1].tokens, 410);
  CU_ASSERT_EQUAL (call.prompt_tokens, 1460);
  CU_ASSERT_EQUAL (call.output_tokens, 80);
  CU_ASSERT_EQUAL (call.timeout_ns, 1500 * NS_PER_MS);
  CU_ASSERT_TRUE (call.resumes);
  head_add_field (&head, "X-Api-Key", "a");
  head_add_field (&head, "X-Api-Key", "b");
  CU_ASSERT_EQUAL (message_request_decode (&head, "/", &call, &error),
                   STATUS_INVALID);
  httpfields_finish (&head);
}

static void
test_response (void)
{
  struct httpfields head;
  struct response response;

  httpfields_init (&head);
  head_add_field (&head, "X-Request-Id", "r");
  head_add_field (&head, "X-Server-Load", "3,1,8");
  head_add_field (&head, "X-Instance-Id", "i-1");
  message_response_decode (421, &head, "r", "i-1", &response);
  CU_ASSERT_EQUAL (response.owner, RESPONSE_OWN);
  CU_ASSERT_TRUE (response.not_run && response.other_weights);
  CU_ASSERT_FALSE (response.other_server);
  CU_ASSERT_EQUAL (response.waiting_requests, 1);
  message_response_decode (421, &head, "r", "i-2", &response);
  CU_ASSERT_TRUE (response.not_run && response.other_server);
  message_response_decode (503, &head, "other", "i-1", &response);
  CU_ASSERT_EQUAL (response.owner, RESPONSE_OF_ANOTHER);
  CU_ASSERT_FALSE (response.not_run || response.from_backend_server);
  httpfields_finish (&head);
}

/* Bad values of a limit were taken for limits. */
static void
test_stated_limit (void)
{
  static const struct
  {
    const char *value;
    double limit;
    bool malformed;
  } rows[] = { { "1.3", 1.3, false }, { "0", 0, false },
               { ".5", 0.5, false },  { "100000", 100000, false },
               { "", -1, true },      { "-1", -1, true },
               { "nan", -1, true },   { "inf", -1, true },
               { "1e3", -1, true },   { "1.3.1", -1, true },
               { "1,3", -1, true },   { "0x10", -1, true },
               { " 1", -1, true },    { "1 requests", -1, true } };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct httpfields head;
      struct response response;

      httpfields_init (&head);
      head_add_field (&head, "X-Request-Id", "r");
      head_add_field (&head, "Server-Limit", rows[i].value);
      message_response_decode (200, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.limit_malformed, rows[i].malformed);
      if (!rows[i].malformed)
        CU_ASSERT_DOUBLE_EQUAL (response.limit_per_s, rows[i].limit, 1e-9);
      head_add_field (&head, "Server-Limit", "2");
      message_response_decode (200, &head, "r", "i-1", &response);
      CU_ASSERT_TRUE (response.limit_malformed);
      httpfields_clear (&head);
      message_response_decode (200, &head, "r", "i-1", &response);
      CU_ASSERT_TRUE (response.limit_per_s < 0 && !response.limit_malformed);
      httpfields_finish (&head);
    }
}

/* Bad values of the field by which a server leaves took it out. */
static void
test_stated_leaving (void)
{
  static const struct
  {
    const char *value;
    enum statement_kind kind;
  } rows[]
      = { { "1", STATEMENT_VALID },      { "", STATEMENT_MALFORMED },
          { "0", STATEMENT_MALFORMED },  { "2", STATEMENT_MALFORMED },
          { "01", STATEMENT_MALFORMED }, { "1 ", STATEMENT_MALFORMED },
          { "+1", STATEMENT_MALFORMED }, { "1,1", STATEMENT_MALFORMED },
          { "-1", STATEMENT_MALFORMED }, { "true", STATEMENT_MALFORMED } };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct httpfields head;
      struct response response;

      httpfields_init (&head);
      head_add_field (&head, "X-Request-Id", "r");
      message_response_decode (200, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.leaving, STATEMENT_NONE);
      head_add_field (&head, "server-leaving", rows[i].value);
      message_response_decode (503, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.leaving, rows[i].kind);
      message_response_decode (200, &head, "other", "i-1", &response);
      CU_ASSERT_EQUAL (response.owner, RESPONSE_OF_ANOTHER);
      CU_ASSERT_EQUAL (response.statement.leaving, STATEMENT_NONE);
      message_response_decode (421, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.leaving, STATEMENT_FOREIGN);
      head_add_field (&head, "X-Instance-Id", "i-1");
      message_response_decode (421, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.leaving, rows[i].kind);
      message_response_decode (200, &head, "r", "i-2", &response);
      CU_ASSERT_EQUAL (response.statement.leaving, STATEMENT_FOREIGN);
      head_add_field (&head, "Server-Leaving", "1");
      message_response_decode (200, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.leaving, STATEMENT_REPEATED);
      httpfields_finish (&head);
    }
}

/* The field by which a server says that it is brittle was read nowhere. */
static void
test_stated_brittle (void)
{
  static const struct
  {
    const char *value;
    enum statement_kind kind;
    unsigned rejections;
  } rows[] = { { "0", STATEMENT_VALID, 0 },
               { "1", STATEMENT_VALID, 1 },
               { "10", STATEMENT_VALID, 10 },
               { "2.9", STATEMENT_VALID, 2 },
               { ".5", STATEMENT_VALID, 0 },
               { "99999999999999999999", STATEMENT_VALID, UINT32_MAX },
               { "", STATEMENT_MALFORMED, 0 },
               { "-1", STATEMENT_MALFORMED, 0 },
               { "nan", STATEMENT_MALFORMED, 0 },
               { "1e3", STATEMENT_MALFORMED, 0 },
               { "1 2", STATEMENT_MALFORMED, 0 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct httpfields head;
      struct response response;

      httpfields_init (&head);
      head_add_field (&head, "X-Request-Id", "r");
      message_response_decode (200, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.brittle, STATEMENT_NONE);
      head_add_field (&head, "Server-Brittle", rows[i].value);
      message_response_decode (503, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.brittle, rows[i].kind);
      if (rows[i].kind == STATEMENT_VALID)
        CU_ASSERT_EQUAL (response.statement.rejections, rows[i].rejections);
      message_response_decode (200, &head, "other", "i-1", &response);
      CU_ASSERT_EQUAL (response.owner, RESPONSE_OF_ANOTHER);
      CU_ASSERT_EQUAL (response.statement.brittle, STATEMENT_NONE);
      message_query_response_decode (200, &head, "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.brittle, STATEMENT_NONE);
      head_add_field (&head, "Server-Brittle", "1");
      message_response_decode (200, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.brittle, STATEMENT_REPEATED);
      httpfields_clear (&head);
      head_add_field (&head, "Server-Brittle", rows[i].value);
      message_query_response_decode (200, &head, "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.brittle, rows[i].kind);
      httpfields_finish (&head);
    }
}

/* Bad values of the time for which a server wants nothing were believed, or
 * fractions of a second dropped. */
static void
test_stated_pause (void)
{
  static const struct
  {
    const char *value;
    enum statement_kind kind;
    int64_t ns;
  } rows[] = { { "2", STATEMENT_VALID, 2 * NS_PER_S },
               { "0.75", STATEMENT_VALID, 750 * NS_PER_MS },
               { ".5", STATEMENT_VALID, 500 * NS_PER_MS },
               { "0", STATEMENT_VALID, 0 },
               { "3600", STATEMENT_VALID, 3600 * NS_PER_S },
               { "99999999999999999999", STATEMENT_VALID, 1000000 * NS_PER_S },
               { "", STATEMENT_MALFORMED, 0 },
               { ".", STATEMENT_MALFORMED, 0 },
               { "-1", STATEMENT_MALFORMED, 0 },
               { "+1", STATEMENT_MALFORMED, 0 },
               { "nan", STATEMENT_MALFORMED, 0 },
               { "inf", STATEMENT_MALFORMED, 0 },
               { "1e3", STATEMENT_MALFORMED, 0 },
               { "0x1", STATEMENT_MALFORMED, 0 },
               { "1.2.3", STATEMENT_MALFORMED, 0 },
               { "1,5", STATEMENT_MALFORMED, 0 },
               { "1 s", STATEMENT_MALFORMED, 0 },
               { "Fri, 04 Dec 2026 14:00:00 GMT", STATEMENT_MALFORMED, 0 } };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct httpfields head;
      struct response response;

      httpfields_init (&head);
      head_add_field (&head, "X-Request-Id", "r");
      message_response_decode (503, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.pause, STATEMENT_NONE);
      head_add_field (&head, "retry-after", rows[i].value);
      message_response_decode (503, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.pause, rows[i].kind);
      if (rows[i].kind == STATEMENT_VALID)
        CU_ASSERT_EQUAL (response.statement.pause_ns, rows[i].ns);
      message_response_decode (429, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.pause, STATEMENT_NONE);
      message_response_decode (503, &head, "other", "i-1", &response);
      CU_ASSERT_EQUAL (response.owner, RESPONSE_OF_ANOTHER);
      CU_ASSERT_EQUAL (response.statement.pause, STATEMENT_NONE);
      head_add_field (&head, "Retry-After", "1");
      message_response_decode (503, &head, "r", "i-1", &response);
      CU_ASSERT_EQUAL (response.statement.pause, STATEMENT_REPEATED);
      httpfields_finish (&head);
    }
}

static void
test_attempt_header (void)
{
  struct httpfields head;
  GString *out = g_string_new (NULL);
  GByteArray *body = g_byte_array_new ();
  struct attempt_header attempt_header = {
    .server_id = "i-1",
    .organisation = "t",
    .time_left_ns = 900 * NS_PER_MS,
    .has_priority = true,
    .priority = 4,
    .cache_scope = "m:1:",
    .weight_version = 1,
    .block_count = 2,
    .fetch_addresses = { "10.0.0.1:80", NULL },
    .fetch_deadline_ms = 77,
    .resumes = true,
    .last_event_id = 5,
  };

  httpfields_init (&head);
  head_add_field (&head, "Host", "h");
  head_add_field (&head, "Last-Event-Id", "1");
  head_add_field (&head, "X-Kv-Save", "6.6.6.6:6");
  head_add_field (&head, "X-Hold", "h");
  head_add_field (&head, "Transfer-Encoding", "chunked");
  message_attempt_encode (out, "POST", "/p", &head, body, &attempt_header);
  CU_ASSERT_STRING_EQUAL (
      out->str, "POST /p HTTP/1.1\r\nHost: h\r\nX-Expect-Instance: i-1\r\n"
                "X-Tenant: t\r\nX-Request-Deadline: 900\r\n"
                "X-Request-Priority: 4\r\nX-Cache-Salt: m:1:\r\n"
                "X-Expect-Version: 1\r\n"
                "X-Kv-Fetch: 10.0.0.1:80,-\r\nX-Kv-Until: 77\r\n"
                "Last-Event-Id: 5\r\n"
                "Content-Length: 0\r\n\r\n");
  httpfields_finish (&head);
  g_byte_array_free (body, TRUE);
  g_string_free (out, TRUE);
}

static char *
passed_on (const struct pass_on_header *header, const char *extra_name)
{
  struct httpfields head;
  GByteArray *body = g_byte_array_new ();
  GString *out = g_string_new (NULL);

  httpfields_init (&head);
  head_add_field (&head, "Host", "h");
  head_add_field (&head, "X-Request-Id", "r1");
  head_add_field (&head, "X-Api-Key", "k");
  head_add_field (&head, "X-Request-Deadline", "9000");
  head_add_field (&head, "Trefoilspar-Runs", "0");
  head_add_field (&head, extra_name, "7");
  message_pass_on_encode (out, "POST", "/p?q", &head, body, header);
  httpfields_finish (&head);
  g_byte_array_free (body, TRUE);
  return g_string_free (out, FALSE);
}

/* A host passed a request on with more time, fewer earlier runs or another
 * caller's key than it has. */
static void
test_pass_on (void)
{
  struct pass_on_header header
      = { .time_left_ns = 700 * NS_PER_MS, .earlier_runs = 1 };
  char *text = passed_on (&header, "Last-Event-Id");

  CU_ASSERT_PTR_NOT_NULL (strstr (text, "POST /p?q HTTP/1.1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "X-Api-Key: k\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "X-Request-Deadline: 700\r\n"));
  CU_ASSERT_PTR_NULL (strstr (text, "9000"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Trefoilspar-Runs: 1\r\n"));
  CU_ASSERT_PTR_NULL (strstr (text, "Trefoilspar-Runs: 0\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Last-Event-Id: 7\r\n"));
  g_free (text);

  header.refusals = (struct call_refusals){ { 0x2a, UINT32_MAX }, 2 };
  header.resumes = true;
  header.last_event_id = 9;
  header.time_left_ns = -1;
  text = passed_on (&header, "Last-Event-Id");
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "X-Request-Deadline: 0\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Last-Event-Id: 9\r\n"));
  CU_ASSERT_PTR_NULL (strstr (text, "Last-Event-Id: 7\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Resumes: r1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "Trefoilspar-Runs: 1 2a ffffffff\r\n"));
  g_free (text);

  header.config_version = 412;
  text = passed_on (&header, "Last-Event-Id");
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, "Trefoilspar-Runs: 1 2a ffffffff;config=412\r\n"));
  g_free (text);
}

static const struct unit_case cases[] = {
  { "pass-on", test_pass_on },
  { "stated-limit", test_stated_limit },
  { "stated-leaving", test_stated_leaving },
  { "stated-brittle", test_stated_brittle },
  { "stated-pause", test_stated_pause },
  { "odd-numbers", test_odd_numbers },
  { "configuration", test_configuration },
  { "torn-documents", test_truncated_documents },
  { "entry", test_entry },
  { "forged-entries", test_malformed_entries },
  { "wanted-version", test_wanted_version },
  { "call", test_call },
  { "answer", test_response },
  { "send", test_attempt_header },
};

int
main (void)
{
  return unit_run ("platform", cases, G_N_ELEMENTS (cases));
}
