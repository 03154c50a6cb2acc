#include "clock.h"
#include "dialect-platform.h"
#include "fake-upstream.h"
#include "unit.h"

/* The calls of control, and what their replies were taken for. */
static struct
{
  uv_loop_t loop;
  struct httpclient client;
  struct httpjson httpjson;
  struct fake_upstream upstream;
  unsigned ended;
  enum weights_reply order;
  bool replied;
  bool busy;
  struct statement statement;
} control;

static void
order_replied (void *data, enum weights_reply reply,
               const struct statement *statement)
{
  control.order = reply;
  control.statement = *statement;
  control.ended++;
}

static void
report_replied (void *data, const struct weights_report *report)
{
  control.replied = report->replied;
  control.statement = report->statement;
  control.ended++;
}

static void
rows_replied (void *data, const struct cache_report *report)
{
  control.replied = report->replied;
  control.busy = report->busy;
  control.ended++;
}

static void
control_start (const char *answer)
{
  static struct fake_upstream_step step;

  step = (struct fake_upstream_step){ answer, FAKE_UPSTREAM_KEEP };
  control.ended = 0;
  fake_upstream_init (&control.upstream, &control.loop, &step, 1);
  control.upstream.state = answer;
}

static void
control_wait (void)
{
  while (control.ended == 0)
    uv_run (&control.loop, UV_RUN_ONCE);
  fake_upstream_finish (&control.upstream);
  for (unsigned i = 0; i < 5; i++)
    uv_run (&control.loop, UV_RUN_NOWAIT);
}

static void
order_call (const char *answer)
{
  const struct weights_order order
      = { .server_id = "i-0", .model = "m", .leader = "l" };

  control_start (answer);
  dialect_platform.weights_order_send (&control.httpjson,
                                       control.upstream.address, &order,
                                       NS_PER_S, order_replied, NULL);
  control_wait ();
}

static void
report_call (const char *answer)
{
  control_start (answer);
  dialect_platform.weights_query (&control.httpjson, control.upstream.address,
                                  "i-0", NS_PER_S, report_replied, NULL);
  control_wait ();
}

static void
rows_call (const char *answer, bool is_list)
{
  control_start (answer);
  if (is_list)
    dialect_platform.cache_list (&control.httpjson, control.upstream.address,
                                 NS_PER_S, rows_replied, NULL);
  else
    dialect_platform.cache_events (&control.httpjson, control.upstream.address,
                                   7, 0, NS_PER_S, rows_replied, NULL);
  control_wait ();
}

/* What an engine or a store had answered to a request, or to a call of another
 * kind, was taken for its reply to a call of control. */
static void
test_anothers_answer_to_calls_of_control (void)
{
#define REPLY(status, field, body)                                            \
  "HTTP/1.1 " status "\r\n" field "Content-Length: " body
#define OTHER "X-Request-Id: other\r\n"
#define REFUSED_BY(id) "X-Not-Executed: 1\r\nX-Instance-Id: " id "\r\n"
#define LEAVING "Server-Leaving: 1\r\n"
#define EVENTS                                                                \
  "59\r\n\r\n{\"bootEpoch\":7,\"next\":9,\"hasGap\":false,"                   \
  "\"events\":[],\"pad\":1}"
#define LIST "42\r\n\r\n{\"bootEpoch\":7,\"next\":9,\"heldCount\":[]}   "
#define REPORT "42\r\n\r\n{\"busy\":false,\"sequence\":2,\"models\":[]}   "
  uv_loop_init (&control.loop);
  httpclient_init (&control.client, &control.loop, 2000);
  httpjson_init (&control.httpjson, &control.client);
  order_call (REPLY ("409 x", LEAVING, "0\r\n\r\n"));
  CU_ASSERT_EQUAL (control.order, WEIGHTS_REPLY_BUSY);
  CU_ASSERT_EQUAL (control.statement.leaving, STATEMENT_VALID);
  order_call (REPLY ("409 x", OTHER LEAVING, "0\r\n\r\n"));
  CU_ASSERT_EQUAL (control.order, WEIGHTS_REPLY_UNKNOWN);
  CU_ASSERT_EQUAL (control.statement.leaving, STATEMENT_NONE);
  order_call (REPLY ("503 x", LEAVING REFUSED_BY ("i-0"), "0\r\n\r\n"));
  CU_ASSERT_EQUAL (control.statement.leaving, STATEMENT_VALID);
  order_call (REPLY ("503 x", LEAVING REFUSED_BY ("i-7"), "0\r\n\r\n"));
  CU_ASSERT_EQUAL (control.statement.leaving, STATEMENT_NONE);
  order_call (REPLY ("421 x", OTHER, "0\r\n\r\n"));
  CU_ASSERT_EQUAL (control.order, WEIGHTS_REPLY_UNKNOWN);
  report_call (REPLY ("200 OK", LEAVING, REPORT));
  CU_ASSERT_TRUE (control.replied);
  CU_ASSERT_EQUAL (control.statement.leaving, STATEMENT_VALID);
  report_call (REPLY ("200 OK", OTHER LEAVING, REPORT));
  CU_ASSERT_FALSE (control.replied);
  CU_ASSERT_EQUAL (control.statement.leaving, STATEMENT_NONE);
  for (unsigned is_list = 0; is_list < 2; is_list++)
    {
      rows_call (is_list ? REPLY ("200 OK", "", LIST)
                         : REPLY ("200 OK", "", EVENTS),
                 is_list);
      CU_ASSERT_TRUE (control.replied);
      rows_call (is_list ? REPLY ("200 OK", OTHER, LIST)
                         : REPLY ("200 OK", OTHER, EVENTS),
                 is_list);
      CU_ASSERT_FALSE (control.replied);
      rows_call (is_list ? REPLY ("200 OK", "", EVENTS)
                         : REPLY ("200 OK", "", LIST),
                 is_list);
      CU_ASSERT_FALSE (control.replied);
      rows_call (REPLY ("429 x", OTHER, "0\r\n\r\n"), is_list);
      CU_ASSERT_FALSE (control.busy);
    }
  httpjson_finish (&control.httpjson);
  httpclient_finish (&control.client);
  for (unsigned i = 0; i < 5; i++)
    uv_run (&control.loop, UV_RUN_NOWAIT);
}

static const struct unit_case cases[] = {
  { "anothers-answer-to-calls-of-control",
    test_anothers_answer_to_calls_of_control },
};

int
main (void)
{
  return unit_run ("foreigncontrol", cases, G_N_ELEMENTS (cases));
}
