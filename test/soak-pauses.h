#ifndef SOAK_PAUSES_H
#define SOAK_PAUSES_H

#include "soak.h"

/** @file
 * Engines that pause in a run for longer than hosts wait, and complete it
 * before its deadline if they are let. They turn requests away beyond few runs
 * at once.
 */

/** Whether an engine with COUNT runs turns a request away. */
bool soak_pauses_refuse (struct soak *soak, unsigned count);

/** Return for how many ms a run pauses before its next event or its answer; 0
 * mostly. */
unsigned soak_pauses_draw (struct soak *soak,
                           const struct soak_request *request);

/** An engine begins or ends to work on REQUEST. Two may do so for a short time
 * only. */
void soak_pauses_begin (struct soak *soak, struct soak_request *request);
void soak_pauses_end (struct soak *soak, struct soak_request *request);

/** REQUEST was answered with STATUS. Nothing but a pause happened to it. */
void soak_pauses_answered (struct soak *soak,
                           const struct soak_request *request,
                           unsigned status);

void soak_pauses_say (struct soak *soak);

#endif
