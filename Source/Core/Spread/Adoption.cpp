#include "Spread/Adoption.h"

namespace Spread {

Adoption
JudgeAdoption(const Digest& aInForce, const Digest& aOffered)
{
  if (aOffered.mRevision > aInForce.mRevision) {
    return Adoption::Adopt;
  }
  if (aOffered.mRevision < aInForce.mRevision) {
    return Adoption::Older;
  }
  return aOffered.mHash == aInForce.mHash ? Adoption::Same : Adoption::Conflict;
}

StartupDecision
JudgeStartup(const std::vector<StartupAnswer>& aAnswers, std::size_t aPeers, bool aSettled)
{
  Digest highest;
  std::size_t answered = 0;
  for (const StartupAnswer& answer : aAnswers) {
    answered += answer.mHeld.mRevision > Revision(0) ? 1 : 0;
    if (answer.mHeld.mRevision > highest.mRevision) {
      highest = answer.mHeld;
    }
  }
  if (!aSettled || answered * 2 <= aPeers) {
    return {};
  }
  return { StartupVerdict::Ready, highest };
}

} // namespace Spread
