#include "operator.h"

bool
operator_serve (struct gateway *gateway, struct httpserver_request *http,
                const char *path)
{
  return false;
}

void
operator_tick (struct gateway *gateway)
{
}
