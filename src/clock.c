#include "clock.h"

#include <assert.h>

enum
{
  FAKE_WALL_START_S = 1700000000
};

static int64_t
system_now (const struct clock *clock)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * NS_PER_S + now.tv_nsec;
}

static int64_t
system_boottime (const struct clock *clock)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return now.tv_sec * NS_PER_S + now.tv_nsec;
}

static struct timespec
system_wall (const struct clock *clock)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return now;
}

static int64_t
fake_now (const struct clock *clock)
{
  return ((const struct clock_fake *)clock)->now_ns;
}

static int64_t
fake_boottime (const struct clock *clock)
{
  const struct clock_fake *fake = (const struct clock_fake *)clock;

  return fake->now_ns + fake->suspended_ns;
}

static struct timespec
fake_wall (const struct clock *clock)
{
  return ((const struct clock_fake *)clock)->wall;
}

static const struct clock_ops system_ops
    = { system_now, system_wall, system_boottime };
static const struct clock_ops fake_ops
    = { fake_now, fake_wall, fake_boottime };

void
clock_system_init (struct clock *clock)
{
  clock->ops = &system_ops;
}

void
clock_fake_init (struct clock_fake *fake, int64_t now)
{
  fake->clock.ops = &fake_ops;
  fake->now_ns = now;
  fake->suspended_ns = 0;
  fake->wall.tv_sec = FAKE_WALL_START_S;
  fake->wall.tv_nsec = 0;
}

void
clock_fake_advance (struct clock_fake *fake, int64_t ns)
{
  int64_t wall_ns;

  assert (ns >= 0);
  fake->now_ns += ns;
  wall_ns = fake->wall.tv_nsec + ns;
  fake->wall.tv_sec += wall_ns / NS_PER_S;
  fake->wall.tv_nsec = wall_ns % NS_PER_S;
}
