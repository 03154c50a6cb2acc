#include "decode.h"
#include "unit.h"

#include <string.h>

/* One row of another form ended the process, or numbers out of range did. */
static void
test_rows_of_another_form (void)
{
  static const char good[] = "[7,\"+\",\"s\",\"5c1e07a2\",800,\"m\"]";
  static const char *const rows[]
      = { "7",
          "\"row\"",
          "{}",
          "null",
          "true",
          "[]",
          "[7]",
          "[7,\"+\",\"s\",\"5c1e07a2\"]",
          "[7,\"+\",\"s\",[],800,\"m\"]",
          "[7,\"+\",{},\"5c1e07a2\",800,\"m\"]",
          "[7,null,\"s\",\"5c1e07a2\",800,\"m\"]",
          "[-7,\"+\",\"s\",\"5c1e07a2\",800,\"m\"]",
          "[7,\"+\",\"s\",\"5c1e07a2\",1e400,\"m\"]",
          "[7,\"+\",\"s\",\"5c1e07a2\",99999999999999999999,\"m\"]",
          "[7,\"+\",\"s\",\"no number\",800,\"m\"]" };

  for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *text = g_strdup_printf ("{\"events\":[%s,%s],\"heldCount\":[%s],"
                                    "\"clock_ms\":1e300}",
                                    rows[i], good, rows[i]);
      struct json_object *reply = json_tokener_parse (text);
      unsigned count, ignored;
      int64_t clock_ns;
      struct cache_block *blocks
          = decode_cache_rows (reply, false, &count, &ignored);

      CU_ASSERT_EQUAL (count, 1);
      CU_ASSERT_EQUAL (ignored, 1);
      CU_ASSERT_EQUAL (blocks[0].id, 0x5c1e07a2);
      g_free (blocks);
      blocks = decode_cache_rows (reply, true, &count, &ignored);
      CU_ASSERT_EQUAL (count, 0);
      g_free (blocks);
      CU_ASSERT_FALSE (decode_engine_clock (reply, &clock_ns));
      json_object_put (reply);
      reply = json_tokener_parse ("{\"clock_ms\":1796498208415.5}");
      CU_ASSERT_TRUE (decode_engine_clock (reply, &clock_ns));
      CU_ASSERT_EQUAL (clock_ns / 1000000, 1796498208415);
      json_object_put (reply);
      g_free (text);
    }
}

static void
odd_entry_check (const char *format, const char *value, bool accepted)
{
  char *text = g_strdup_printf (format, value);
  struct server_entry entry;
  struct error error;

  CU_ASSERT_EQUAL (
      decode_server_entry ("i", text, &entry, &error) == STATUS_OK, accepted);
  g_free (text);
}

/* An entry that is deeply nested, or has a number or a port out of range, was
 * used or ended the process. */
static void
test_odd_entries (void)
{
  static const char with_slots[]
      = "{\"backend\":\"b\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"version\":\"1\",\"slots\":%s,\"state\":\"ready\"}";
  static const char with_address[]
      = "{\"backend\":\"b\",\"address\":\"10.0.0.1:%s\",\"zone\":\"z\","
        "\"version\":\"1\",\"slots\":4,\"state\":\"ready\"}";
  static const char *const numbers[]
      = { "1e400", "-1", "70000", "99999999999999999999", "1e-400", "\"4\"" };
  static const char *const ports[]
      = { "65536", "99999", "-1", "0", "99999999999999999999", "", "8o" };
  char *nested = g_strnfill (200000, '[');

  odd_entry_check (with_slots, "4", true);
  odd_entry_check (with_address, "65535", true);
  for (unsigned i = 0; i < G_N_ELEMENTS (numbers); i++)
    odd_entry_check (with_slots, numbers[i], false);
  for (unsigned i = 0; i < G_N_ELEMENTS (ports); i++)
    odd_entry_check (with_address, ports[i], false);
  odd_entry_check ("%s", nested, false);
  odd_entry_check (with_slots, nested, false);
  g_free (nested);
}

static const struct unit_case cases[] = {
  { "rows-of-another-form", test_rows_of_another_form },
  { "odd-entries", test_odd_entries },
};

int
main (void)
{
  return unit_run ("input", cases, G_N_ELEMENTS (cases));
}
