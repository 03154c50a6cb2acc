#include <stdio.h>

int
main (void)
{
  fputs ("no role\n", stderr);
  return 1;
}
