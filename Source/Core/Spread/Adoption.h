#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Units.h"

/// Which revision of the tables a process may adopt.
namespace Spread {

using Common::Revision;

/// Identifies one joint revision of the tables. Two processes hold the same tables if both parts
/// agree.
struct Digest
{
  Revision mRevision;
  std::uint64_t mHash = 0;

  bool operator==(const Digest&) const = default;
};

enum class Adoption
{
  /// The offered revision is higher than the one in force.
  Adopt,
  Same,
  /// The offered revision is lower; adopting it would revert an accepted change.
  Older,
  /// Same number, other content. The store never gives one number to two contents, so one side is
  /// damaged; the one in force is kept and the conflict reported.
  Conflict,
};

Adoption
JudgeAdoption(const Digest& aInForce, const Digest& aOffered);

/// What one peer answered to a process that is starting.
struct StartupAnswer
{
  std::string mPeer;
  /// What the peer holds; revision 0 if it is starting itself and has nothing to say.
  Digest mHeld;
};

enum class StartupVerdict
{
  /// Not enough is known yet; requests are refused as not-run.
  Wait,
  /// The digest may be fetched and put in force.
  Ready,
};

struct StartupDecision
{
  StartupVerdict mVerdict = StartupVerdict::Wait;
  Digest mTarget;
};

/// Decides which revision a process may begin with while the store cannot be read. A majority of
/// the configured peers must have answered with a revision, and the highest answer is taken. aPeers
/// counts the configured peers. aSettled says that answers have been collected for as long as a
/// revision needs to reach every process; without that, a process that restarts while a revision
/// spreads could begin with an older one than it had in force.
StartupDecision
JudgeStartup(const std::vector<StartupAnswer>& aAnswers, std::size_t aPeers, bool aSettled);

} // namespace Spread
