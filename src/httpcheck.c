#include "httpcheck.h"

#include <glib.h>
#include <string.h>

enum state
{
  STATUS_LINE, /* Before the reason. */
  STATUS_END,
  REASON,
  REQUEST_BEGIN,
  METHOD,
  TARGET_BEGIN,
  TARGET,
  VERSION,
  VERSION_END,
  LINE_FEED, /* After a carriage return that ends a line of a head. */
  FIELD,     /* At the start of a line. */
  NAME,
  VALUE,
  LAST_LINE_FEED, /* After the carriage return of the empty line. */
  SIZE,
  SIZE_BLANK,
  EXTENSION,
  SIZE_LINE_FEED,
  DATA,
  DATA_RETURN,
  DATA_LINE_FEED,
  INVALID,
  END
};

/* Form of a status line up to the status, which begins with a version: '#'
 * stands for the minor version, '0' for any digit. */
static const char status_line_form[] = "HTTP/1.# 000";

enum
{
  STATUS_LINE_SIZE = sizeof status_line_form - 1,
  VERSION_SIZE = STATUS_LINE_SIZE - 4
};

static void
check_begin (struct httpcheck *check, enum httpcheck_section section,
             enum state state)
{
  memset (check, 0, sizeof *check);
  check->section = section;
  check->state = state;
}

void
httpcheck_begin_response (struct httpcheck *check)
{
  check_begin (check, HTTPCHECK_HEAD, STATUS_LINE);
}

void
httpcheck_begin_request (struct httpcheck *check)
{
  check_begin (check, HTTPCHECK_HEAD, REQUEST_BEGIN);
}

void
httpcheck_begin_chunks (struct httpcheck *check)
{
  check_begin (check, HTTPCHECK_CHUNKS, SIZE);
}

/* Whether C may be part of a field name (RFC 9110, section 5.6.2). */
static bool
is_name_char (char c)
{
  return g_ascii_isalnum (c)
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Whether C may be part of a field value or a reason. */
static bool
is_text_char (char c)
{
  return c == '\t' || !g_ascii_iscntrl (c);
}

static bool
is_target_char (char c)
{
  return c != ' ' && !g_ascii_iscntrl (c);
}

/* Return the state after C, a character of a line of a head; OTHERWISE unless
 * it ends the line. */
static enum state
line_end (char c, enum state otherwise)
{
  return c == '\r' ? LINE_FEED : c == '\n' ? FIELD : otherwise;
}

/* Match C with the next character of status_line_form, of which SIZE are due.
 * @return AFTER behind the last one */
static enum state
form_next (struct httpcheck *check, char c, unsigned size, enum state after)
{
  char form = status_line_form[check->matched++];
  bool matches = form == '#'   ? c == '0' || c == '1'
                 : form == '0' ? g_ascii_isdigit (c)
                               : c == form;

  if (!matches)
    return INVALID;
  return check->matched == size ? after : (enum state)check->state;
}

static enum state
head_next (struct httpcheck *check, char c)
{
  switch ((enum state)check->state)
    {
    case STATUS_LINE:
      return form_next (check, c, STATUS_LINE_SIZE, STATUS_END);
    case STATUS_END:
      return c == ' ' ? REASON : line_end (c, INVALID);
    case REASON:
      return line_end (c, is_text_char (c) ? REASON : INVALID);
    case REQUEST_BEGIN:
      if (c == '\r' || c == '\n')
        return REQUEST_BEGIN;
      return is_name_char (c) ? METHOD : INVALID;
    case METHOD:
      return c == ' ' ? TARGET_BEGIN : is_name_char (c) ? METHOD : INVALID;
    case TARGET_BEGIN:
      return is_target_char (c) ? TARGET : INVALID;
    case TARGET:
      return c == ' ' ? VERSION : is_target_char (c) ? TARGET : INVALID;
    case VERSION:
      return form_next (check, c, VERSION_SIZE, VERSION_END);
    case VERSION_END:
      return line_end (c, INVALID);
    case LINE_FEED:
      return c == '\n' ? FIELD : INVALID;
    case FIELD:
      if (c == '\r')
        return LAST_LINE_FEED;
      if (c == '\n')
        return END;
      return is_name_char (c) ? NAME : INVALID;
    case NAME:
      return c == ':' ? VALUE : is_name_char (c) ? NAME : INVALID;
    case VALUE:
      return line_end (c, is_text_char (c) ? VALUE : INVALID);
    case LAST_LINE_FEED:
      return c == '\n' ? END : INVALID;
    default:
      return INVALID;
    }
}

static enum state
size_next (struct httpcheck *check, char c)
{
  if (g_ascii_isxdigit (c))
    {
      if (check->chunk_left > UINT64_MAX / 16)
        return INVALID;
      check->chunk_left
          = check->chunk_left * 16 + (uint64_t)g_ascii_xdigit_value (c);
      check->matched++;
      return SIZE;
    }
  if (check->matched == 0)
    return INVALID;
  return c == '\r'               ? SIZE_LINE_FEED
         : c == ';'              ? EXTENSION
         : c == ' ' || c == '\t' ? SIZE_BLANK
                                 : INVALID;
}

static enum state
chunk_next (struct httpcheck *check, char c)
{
  switch ((enum state)check->state)
    {
    case SIZE:
      return size_next (check, c);
    case SIZE_BLANK:
      return c == ' ' || c == '\t' ? SIZE_BLANK
             : c == ';'            ? EXTENSION
             : c == '\r'           ? SIZE_LINE_FEED
                                   : INVALID;
    case EXTENSION:
      if (c == '\r')
        return SIZE_LINE_FEED;
      return is_text_char (c) ? EXTENSION : INVALID;
    case SIZE_LINE_FEED:
      check->matched = 0;
      if (c != '\n')
        return INVALID;
      return check->chunk_left == 0 ? FIELD : DATA;
    case DATA_RETURN:
      return c == '\r' ? DATA_LINE_FEED : INVALID;
    case DATA_LINE_FEED:
      return c == '\n' ? SIZE : INVALID;
    default:
      check->trailer_bytes++;
      return head_next (check, c);
    }
}

/* Skip those of the next SIZE bytes that belong to the chunk.
 * @return their number */
static size_t
data_skip (struct httpcheck *check, size_t size)
{
  size_t skipped = (size_t)MIN (check->chunk_left, size);

  check->chunk_left -= skipped;
  if (check->chunk_left == 0)
    check->state = DATA_RETURN;
  return skipped;
}

size_t
httpcheck_feed (struct httpcheck *check, const char *bytes, size_t size)
{
  size_t used = 0;

  if (check->section == HTTPCHECK_OTHER)
    return size;
  while (used < size && check->section != HTTPCHECK_MALFORMED)
    {
      if (check->state == DATA)
        {
          used += data_skip (check, size - used);
          continue;
        }
      check->state = check->section == HTTPCHECK_HEAD
                         ? head_next (check, bytes[used])
                         : chunk_next (check, bytes[used]);
      if (check->state == INVALID)
        {
          check->section = HTTPCHECK_MALFORMED;
          break;
        }
      used++;
      if (check->state == END)
        {
          check->section = HTTPCHECK_OTHER;
          break;
        }
    }
  return used;
}

size_t
httpcheck_parse (struct httpcheck *check, http_parser *parser,
                 const http_parser_settings *settings, const char *bytes,
                 size_t size)
{
  size_t parsed = 0;
  size_t part;

  do
    {
      part = httpcheck_feed (check, bytes + parsed, size - parsed);
      if (part == 0 && size > 0)
        break;
      parsed += http_parser_execute (parser, settings, bytes + parsed, part);
    }
  while (parsed < size && check->section != HTTPCHECK_MALFORMED
         && HTTP_PARSER_ERRNO (parser) == HPE_OK && !parser->upgrade);
  return parsed;
}
