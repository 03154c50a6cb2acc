#ifndef ENGINEHTTP_H
#define ENGINEHTTP_H

#include "engine.h"
#include "httpjson.h"

/** @file
 * Implements engine.h over HTTP and JSON, as docs/INTERFACES.md specifies.
 */

struct enginehttp
{
  struct engineclient client;
  struct httpjson *httpjson;
  struct httpclient *httpclient;
};

void enginehttp_init (struct enginehttp *enginehttp,
                      struct httpclient *httpclient,
                      struct httpjson *httpjson);

#endif
