#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

/// Number of random fault schedules that a test runs: IBIS_SCHEDULES from the environment, or
/// aDefault, which keeps the normal test run short. The seeds count up from IBIS_SEED or 1.
inline std::uint64_t
ScheduleCount(std::uint64_t aDefault)
{
  const char* text = std::getenv("IBIS_SCHEDULES");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : aDefault;
}

inline std::uint64_t
FirstSeed()
{
  const char* text = std::getenv("IBIS_SEED");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : 1;
}
