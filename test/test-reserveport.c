#include "reserveport.h"
#include "unit.h"

#include <uv.h>
#include <glib.h>
#include <unistd.h>

#define IP "127.0.0.1"

static int
listen_at (uv_loop_t *loop, uv_tcp_t *listener, uint16_t port)
{
  struct sockaddr_in address;
  int rc;

  uv_tcp_init (loop, listener);
  uv_ip4_addr (IP, port, &address);
  rc = uv_tcp_bind (listener, (struct sockaddr *)&address, 0);
  return rc != 0 ? rc : uv_listen ((uv_stream_t *)listener, 8, NULL);
}

/* The port of a host that was down went to another soak, and the host could
 * not listen any more (soak/drills-seed-7028). */
static void
test_port_of_a_host_that_is_down (void)
{
  int file = reserveport_hold (IP, 0);
  uint16_t port = reserveport_number (file);
  uv_loop_t loop;

  CU_ASSERT_TRUE_FATAL (file >= 0);
  uv_loop_init (&loop);
  for (unsigned start = 0; start < 3; start++)
    {
      uv_tcp_t listener;

      CU_ASSERT_EQUAL (reserveport_hold (IP, port), -1);
      CU_ASSERT_EQUAL (listen_at (&loop, &listener, port), 0);
      CU_ASSERT_EQUAL (reserveport_hold (IP, port), -1);
      uv_close ((uv_handle_t *)&listener, NULL);
      uv_run (&loop, UV_RUN_DEFAULT);
    }
  CU_ASSERT_EQUAL (reserveport_hold (IP, port), -1);
  close (file);
  file = reserveport_hold (IP, port);
  CU_ASSERT_TRUE (file >= 0);
  close (file);
  uv_loop_close (&loop);
}

static const struct unit_case cases[]
    = { { "port-of-a-host-that-is-down", test_port_of_a_host_that_is_down } };

int
main (void)
{
  return unit_run ("reserveport", cases, G_N_ELEMENTS (cases));
}
