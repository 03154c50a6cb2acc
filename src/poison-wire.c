#include "poison-wire.h"
#include "clock.h"

#include <string.h>

void
poison_wire_write (struct poison_message *message, unsigned partition,
                   Peer__Suspect *body)
{
  int64_t hold_ms = message->hold_ns / NS_PER_MS;

  peer__suspect__init (body);
  body->kind = message->kind;
  body->gateway = message->gateway;
  body->run = message->run;
  body->fingerprint.data = message->fingerprint.bytes;
  body->fingerprint.len = POISON_FINGERPRINT_BYTES;
  body->slot = message->slot;
  body->partition = partition;
  body->tainted = message->tainted;
  body->verdict = message->verdict;
  body->hold_ms = hold_ms < UINT32_MAX ? (uint32_t)hold_ms : UINT32_MAX;
}

enum status
poison_wire_read (const Peer__Suspect *body, struct poison_message *message,
                  unsigned *partition)
{
  if (body->kind > POISON_MESSAGE_SYNCED
      || body->verdict >= POISON_VERDICT_COUNT
      || body->slot >= POISON_SLOT_COUNT
      || body->fingerprint.len != POISON_FINGERPRINT_BYTES)
    return STATUS_CORRUPT;
  *message = (struct poison_message){
    .kind = (enum poison_message_kind)body->kind,
    .gateway = body->gateway,
    .run = body->run,
    .slot = body->slot,
    .tainted = body->tainted,
    .verdict = (enum poison_verdict)body->verdict,
    .hold_ns = body->hold_ms * NS_PER_MS,
  };
  memcpy (message->fingerprint.bytes, body->fingerprint.data,
          POISON_FINGERPRINT_BYTES);
  *partition = body->partition;
  return STATUS_OK;
}
