#pragma once

/// What is known of a request, and why one was refused. Shared by the agent and the entry.
namespace Common {

/// The three honest answers about a request. The values are those of the wire format.
enum class Outcome
{
  Ran = 1,
  NotRun = 2,
  Unknown = 3,
};

/// Why a request did not run. The values are those of the wire format.
enum class Refusal
{
  None = 0,
  NoCapacity = 1,
  DeadlineTooClose = 2,
  Leaving = 3,
  WrongIncarnation = 4,
  StaleEpoch = 5,
  NotOwner = 6,
  NoTables = 7,
  UnknownRoute = 8,
  StoreUnavailable = 9,
  Invalid = 10,
  Throttled = 11,
};

} // namespace Common
