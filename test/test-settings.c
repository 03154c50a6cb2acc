#include "settings.h"
#include "clock.h"
#include "json-linemap.h"
#include "unit.h"

#include <glib.h>
#include <string.h>

static const char *const samples[]
    = { "etc/gateway.json", "etc/shard.json", "etc/trapani.json",
        "etc/pawtrace.json" };

/* etc/gateway.json must be refused after OLD is replaced by NEW. The message
 * must contain both expected texts and name the line of AT_TEXT, or of the
 * change if AT_TEXT is NULL. */
struct mistake
{
  const char *old;
  const char *new;
  const char *at_text; /**< "": the end of the file. */
  const char *expected;
  const char *expected2;
};

static const struct mistake mistakes[] = {
  { "\"queue_limit\": 2048", "\"queue_limt\": 2048", NULL,
    "\"admission.queue_limt\"", "\"admission.queue_limit\": whole number" },
  { "\"kv\": {", "\"kw\": {", NULL, "\"kw\"", "nearest" },
  { "\"poll_ms\": 1000", "\"poll_ms\": \"1s\"", NULL, "host_list.poll_ms",
    "number, 100 to 600000 ms" },
  { "\"poll_ms\": 1000", "\"poll_ms\": 99", NULL, "host_list.poll_ms", "99" },
  { "\"poll_ms\": 1000", "\"poll_ms\": 99999999999999999999", NULL,
    "host_list.poll_ms", "100 to 600000" },
  { "\"poll_ms\": 1000", "\"poll_ms\": 99.5", NULL, "host_list.poll_ms",
    "99.5" },
  { "\"poll_ms\": 1000", "\"poll_ms\": -1000.5", NULL, "host_list.poll_ms",
    "-1000.5" },
  { "\"queue_limit\": 2048", "\"queue_limit\": 2048.5", NULL,
    "admission.queue_limit", "2048.5" },
  { "\"poll_ms\": 1000", "\"poll_ms\": null", NULL, "host_list.poll_ms",
    "null" },
  { "\"budget_share\": 0.1", "\"budget_share\": NaN", NULL,
    "retry.budget_share", "0 to 1" },
  { "\"policy\": \"cost\"", "\"policy\": \"costs\"", NULL, "placement.policy",
    "\"round_robin\"" },
  { "127.0.0.1:8200", "localhost:8200", NULL, "seeds[1]", "IP:PORT" },
  { "127.0.0.1:8200", "127.0.0.1:82000", NULL, "seeds[1]", "IP:PORT" },
  { "127.0.0.1:8200", "127.0.0.1:", NULL, "seeds[1]", "IP:PORT" },
  { "127.0.0.1:8200", "[::1:8200", NULL, "seeds[1]", "IP:PORT" },
  { "[\"127.0.0.1:7000\"]", "[]", NULL, "kv.address", "1 to 32" },
  { "[\"127.0.0.1:7000\"]", "\"127.0.0.1:7000\"", NULL, "kv.address",
    "array" },
  { "\"run_alone\": true", "\"run_alone\": 0", NULL, "suspect.run_alone",
    "true or false" },
  { "\"log\": { \"level\": \"info\" }", "\"log\": \"info\"", NULL, "\"log\"",
    "object" },
  { "000102", "00010", "\"hash_key\"", "\"blocks.hash_key\": the value is",
    "64" },
  { "000102", "00010x", "\"hash_key\"", "blocks.hash_key", "hexadecimal" },
  { "\"role\": \"gateway\"", "\"role\": \"gate\"", NULL, "process.role",
    "\"shard\"" },
  { "\"role\": \"gateway\"", "\"role\": \"shard\"",
    "\"policy\":", "placement.policy", "other role" },
  { "\"name\": \"gateway-1\",", "", "\"process\"", "process.name", "missing" },
  { "\"name\": \"gateway-1\"", "\"name\": \"\"", NULL, "process.name",
    "1 to 63" },
  { "\"timeout_ms\": 2000", "\"timeout_ms\": 20000", NULL, "kv.timeout_ms",
    "kv.lease_ttl_ms" },
  { "\"free_delay_ms\": 10000", "\"free_delay_ms\": 5000", "\"read_lease_ms\"",
    "stores.read_lease_ms", "(line 11" },
  { "\"poll_ms\": 1000", "\"poll_ms\": 1000, \"poll_ms\": 1", NULL,
    "host_list.poll_ms", "twice" },
  { "\"poll_ms\": 1000", "\"poll_ms\": }", NULL, "not JSON", "" },
  { "\"free_delay_ms\": 10000\n  }\n}", "\"free_delay_ms\": 10000\n  }\n} x",
    "} x", "after the end", "x" },
  { "\"free_delay_ms\": 10000\n  }\n}", "\"free_delay_ms\": 10000\n  }", "",
    "not JSON", "" },
};

static void
test_samples_pass (void)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (samples); i++)
    {
      struct settings settings;
      struct error error = { 0 };

      if (settings_read_file (samples[i], &settings, &error) != STATUS_OK)
        CU_FAIL (error.message);
      if (error.status != STATUS_OK)
        printf ("  %s\n", error.message);
    }
}

static void
test_values (void)
{
  struct settings settings;
  struct error error;

  CU_ASSERT_EQUAL (settings_read_file (samples[0], &settings, &error), 0);
  CU_ASSERT_EQUAL (settings.process.role, ROLE_GATEWAY);
  CU_ASSERT_EQUAL (settings.kv.lease_ttl_ns, 10 * NS_PER_S);
  CU_ASSERT_EQUAL (settings.seeds.count, 2);
  CU_ASSERT_EQUAL (settings.seeds.items[1].port, 8200);
  CU_ASSERT_STRING_EQUAL (settings.seeds.items[1].ip, "127.0.0.1");
  CU_ASSERT_STRING_EQUAL (settings.advertise.peer.text, "127.0.0.1:8100");
  CU_ASSERT_EQUAL (settings.admission.classes[PRIORITY_URGENT].weight, 8);
  CU_ASSERT_EQUAL (settings.blocks.hash_key[31], 0x1f);
  CU_ASSERT_EQUAL (settings.stores.link_bytes_per_s, 125000000);
}

/* The platform's figures were refused unless they were whole, and the process
 * ended. */
static void
test_fractions (void)
{
  static const char text[]
      = "{\"process\":{\"name\":\"n\",\"role\":\"entry\","
        "\"data_centre\":\"d\"},\"listen\":{\"http\":\"127.0.0.1:1\","
        "\"directory\":\"127.0.0.1:2\",\"ready\":\"127.0.0.1:3\","
        "\"peer\":\"127.0.0.1:4\",\"metrics\":\"127.0.0.1:5\"},"
        "\"kv\":{\"address\":[\"127.0.0.1:6\"],\"lease_ttl_ms\":%s},"
        "\"timeouts\":{\"stop_s\":%s},\"retry\":{\"window_s\":%s,"
        "\"window_share\":%s,\"allowance\":%s},"
        "\"weights\":{\"within_ms\":%s}}";
  static const struct
  {
    const char *figures[6];
    double allowance;
    int64_t lease_ns;
    int64_t stop_ns;
  } rows[] = {
    { { "3000.5", "8.25", "10.5", "0.21", "33.157", "8000.5" },
      33.157,
      3000 * NS_PER_MS + NS_PER_MS / 2,
      8 * NS_PER_S + NS_PER_S / 4 },
    { { "3e3", "0", "0.001", "0", "0", "0" }, 0, 3 * NS_PER_S, 0 },
    { { "1000000000", "1e6", "1000000", "9.5", "1e9", "1e9" },
      1e9,
      1000000 * NS_PER_S,
      1000000 * NS_PER_S },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const char *const *figures = rows[i].figures;
      char *file = g_strdup_printf (text, figures[0], figures[1], figures[2],
                                    figures[3], figures[4], figures[5]);
      struct settings settings;
      struct error error = { 0 };

      if (settings_parse (&settings, file, "file", &error) != STATUS_OK)
        CU_FAIL (error.message);
      CU_ASSERT_EQUAL (settings.retry.allowance, rows[i].allowance);
      CU_ASSERT_EQUAL (settings.kv.lease_ttl_ns, rows[i].lease_ns);
      CU_ASSERT_EQUAL (settings.timeouts.stop_ns, rows[i].stop_ns);
      g_free (file);
    }
}

/* Regions that can't be read were left out, so that homes had no effect. */
static void
test_regions (void)
{
  static const char text[]
      = "{\"process\":{\"name\":\"n\",\"role\":\"entry\","
        "\"data_centre\":\"a\"},\"listen\":{\"http\":\"127.0.0.1:1\","
        "\"directory\":\"127.0.0.1:2\",\"ready\":\"127.0.0.1:3\","
        "\"peer\":\"127.0.0.1:4\",\"metrics\":\"127.0.0.1:5\"},"
        "\"kv\":{\"address\":[\"127.0.0.1:6\"]}%s}";
  static const struct
  {
    const char *places;
    bool valid;
    const char *region; /* of the data centre a */
  } rows[] = {
    { "", true, "" },
    { ",\"places\":{\"regions\":{}}", true, "" },
    { ",\"places\":{\"regions\":{\"b\":\"x\",\"a\":\"y\"}}", true, "y" },
    { ",\"places\":{\"regions\":[\"a\"]}", false, NULL },
    { ",\"places\":{\"regions\":{\"a\":7}}", false, NULL },
    { ",\"places\":{\"regions\":{\"a\":\"\"}}", false, NULL },
    { ",\"places\":{\"regions\":{\"\":\"y\"}}", false, NULL },
    { ",\"places\":{\"regions\":null}", false, NULL },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *file = g_strdup_printf (text, rows[i].places);
      struct settings settings;
      struct error error = { 0 };
      bool valid
          = settings_parse (&settings, file, "file", &error) == STATUS_OK;

      unit_expect (valid == rows[i].valid, "valid", rows[i].places);
      if (valid && rows[i].region != NULL)
        CU_ASSERT_STRING_EQUAL (places_region (&settings.places.regions, "a"),
                                rows[i].region);
      g_free (file);
    }
}

static int
mistake_line (const char *text, const struct mistake *mistake, size_t changed)
{
  const char *at = text + changed;

  if (mistake->at_text != NULL)
    at = mistake->at_text[0] != '\0' ? strstr (text, mistake->at_text)
                                     : text + strlen (text);
  return json_linemap_line_at (text, (size_t)(at - text));
}

static void
check_mistake (const char *text, const struct mistake *mistake)
{
  const char *old = strstr (text, mistake->old);
  struct settings settings;
  struct error error = { 0 };
  GString *changed;
  char prefix[32];

  CU_ASSERT_PTR_NOT_NULL_FATAL (old);
  changed = g_string_new_len (text, old - text);
  g_string_append (changed, mistake->new);
  g_string_append (changed, old + strlen (mistake->old));
  g_snprintf (prefix, sizeof prefix, "file:%d: ",
              mistake_line (changed->str, mistake, (size_t)(old - text)));
  settings_parse (&settings, changed->str, "file", &error);
  CU_ASSERT_EQUAL (error.status, STATUS_INVALID);
  if (!g_str_has_prefix (error.message, prefix)
      || strstr (error.message, mistake->expected) == NULL
      || strstr (error.message, mistake->expected2) == NULL)
    {
      printf ("  %s, %s: %s\n", prefix, mistake->new, error.message);
      CU_FAIL ("unexpected message");
    }
  g_string_free (changed, TRUE);
}

static void
test_mistakes (void)
{
  char *text = NULL;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (samples[0], &text, NULL, NULL));
  for (unsigned i = 0; i < G_N_ELEMENTS (mistakes); i++)
    check_mistake (text, &mistakes[i]);
  g_free (text);
}

/* docs/SETTINGS.md holds exactly the table that the program prints. */
static void
test_help_is_current (void)
{
  char *page = NULL;
  char *table = NULL;
  size_t size;
  FILE *out = open_memstream (&table, &size);

  settings_print_help (out);
  fclose (out);
  CU_ASSERT_TRUE_FATAL (
      g_file_get_contents ("docs/SETTINGS.md", &page, NULL, NULL));
  CU_ASSERT_PTR_NOT_NULL (strstr (page, table));
  g_free (page);
  free (table);
}

static const struct unit_case cases[] = {
  { "samples-pass", test_samples_pass },
  { "values", test_values },
  { "fractions", test_fractions },
  { "regions", test_regions },
  { "mistakes", test_mistakes },
  { "help-is-current", test_help_is_current },
};

int
main (void)
{
  return unit_run ("settings", cases, G_N_ELEMENTS (cases));
}
