#include "callerparse.h"

bool
callerparse_head_fits (const struct callerconn *conn)
{
  return conn->head.text->len + conn->target->len + conn->check.trailer_bytes
         <= conn->server->limits.header_bytes;
}

int
callerparse_target (http_parser *parser, const char *bytes, size_t size)
{
  struct callerconn *conn = parser->data;

  g_string_append_len (conn->target, bytes, size);
  return callerparse_head_fits (conn) ? 0 : 1;
}

int
callerparse_name (http_parser *parser, const char *bytes, size_t size)
{
  struct callerconn *conn = parser->data;

  if (!conn->has_head)
    httpfields_append_name (&conn->head, bytes, size);
  return callerparse_head_fits (conn) ? 0 : 1;
}

int
callerparse_value (http_parser *parser, const char *bytes, size_t size)
{
  struct callerconn *conn = parser->data;

  if (!conn->has_head)
    httpfields_append_value (&conn->head, bytes, size);
  return callerparse_head_fits (conn) ? 0 : 1;
}

int
callerparse_body (http_parser *parser, const char *bytes, size_t size)
{
  struct callerconn *conn = parser->data;

  if (conn->body->len + size > conn->server->limits.body_bytes)
    return 1;
  g_byte_array_append (conn->body, (const guint8 *)bytes, (guint)size);
  return 0;
}
