#include "clihttp.h"

#include <sodium.h>

int
main (int argc, char **argv)
{
  struct clihttp http;
  struct cli cli = {
    .ops = &clihttp_ops, .context = &http, .out = stdout, .err = stderr
  };

  if (sodium_init () < 0)
    return CLI_UNAVAILABLE;
  clihttp_init (&http);
  return (int)cli_run (&cli, argc, argv);
}
