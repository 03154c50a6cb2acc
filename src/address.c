#include "address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

enum status
address_parse (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  char *end;
  unsigned long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return STATUS_INVALID;
  memcpy (host, text, colon - text);
  host[colon - text] = '\0';
  port = strtoul (colon + 1, &end, 10);
  if (colon[1] == '\0' || *end != '\0' || port > UINT16_MAX)
    return STATUS_INVALID;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)port);
  if (inet_pton (AF_INET, host, &address->sin_addr) != 1)
    return STATUS_INVALID;
  return STATUS_OK;
}
