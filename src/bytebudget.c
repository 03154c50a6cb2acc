#include "bytebudget.h"

void
bytebudget_update (struct bytebudget *budget, size_t *counted, size_t bytes)
{
  budget->bytes += bytes - *counted;
  budget->holders += bytes > 0;
  budget->holders -= *counted > 0;
  *counted = bytes;
}

bool
bytebudget_is_overrun (const struct bytebudget *budget, size_t counted)
{
  return budget->bytes_max > 0 && budget->bytes > budget->bytes_max
         && counted > BYTEBUDGET_SHARE_MIN
         && counted >= budget->bytes_max / budget->holders;
}
