#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

/** @file
 * Prints so many free TCP ports of the loopback address, one a line. All are
 * held until the last is printed, so that they differ.
 */

static int
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, size) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    return -1;
  return ntohs (address.sin_port);
}

int
main (int argc, char **argv)
{
  int count = argc > 1 ? atoi (argv[1]) : 1;

  for (int i = 0; i < count; i++)
    {
      int port = free_port ();

      if (port < 0)
        return EXIT_FAILURE;
      printf ("%d\n", port);
    }
  return EXIT_SUCCESS;
}
