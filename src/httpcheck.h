#ifndef HTTPCHECK_H
#define HTTPCHECK_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @file
 * Checks the lines of HTTP/1.1 messages before they are parsed. http_parser,
 * as Debian builds it, accepts blanks in field names, joins folded lines and
 * skips any byte where a line has to end, and recipients disagree on the
 * meaning of such messages (RFC 9112, sections 2.2, 5 and 7.1).
 *
 * A line of a head may end with a line feed only. Content is not checked
 * unless it is chunked.
 */

enum httpcheck_section
{
  HTTPCHECK_HEAD,     /**< The start line and the header fields. */
  HTTPCHECK_CHUNKS,   /**< A chunked body with its trailer fields. */
  HTTPCHECK_OTHER,    /**< Bytes that are not checked. */
  HTTPCHECK_MALFORMED /**< None of the bytes that follow can be used. */
};

struct httpcheck
{
  enum httpcheck_section section;
  unsigned state;
  unsigned matched;    /**< Matched characters of the form of a line, or digits
                          of the size of a chunk. */
  uint64_t chunk_left; /**< Bytes of the chunk that have not arrived. */
  size_t trailer_bytes; /**< Size of the trailer fields so far. */
};

/** Expect the head of a response. */
void httpcheck_begin_response (struct httpcheck *check);

/** Expect the head of a request. */
void httpcheck_begin_request (struct httpcheck *check);

/** Expect a chunked body. Call it when the head has been parsed. */
void httpcheck_begin_chunks (struct httpcheck *check);

/** Check SIZE bytes up to the end of the section, after which the section is
 * HTTPCHECK_OTHER.
 * @return number of bytes to be parsed, which are well-formed; all of SIZE if
 * the section is HTTPCHECK_OTHER. It is less than SIZE if the section has
 * ended or is HTTPCHECK_MALFORMED. */
size_t httpcheck_feed (struct httpcheck *check, const char *bytes,
                       size_t size);

/** Check SIZE bytes of a message and let PARSER parse those that are
 * well-formed, until it stops. A SIZE of 0 tells it the end of the connection.
 * @return number of bytes parsed */
size_t httpcheck_parse (struct httpcheck *check, http_parser *parser,
                        const http_parser_settings *settings,
                        const char *bytes, size_t size);

#endif
