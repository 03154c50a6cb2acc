#include "reserveport.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/* A socket that doesn't share its address finds out whether the port is free.
 * Only then is it shared, with the program that is to listen there. */
int
reserveport_hold (const char *ip, uint16_t port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  int file = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int shared = 1;

  inet_pton (AF_INET, ip, &address.sin_addr);
  if (bind (file, (struct sockaddr *)&address, sizeof address) == 0
      && setsockopt (file, SOL_SOCKET, SO_REUSEADDR, &shared, sizeof shared)
             == 0)
    return file;
  close (file);
  return -1;
}

uint16_t
reserveport_number (int file)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  getsockname (file, (struct sockaddr *)&address, &size);
  return ntohs (address.sin_port);
}
