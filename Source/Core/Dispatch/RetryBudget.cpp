#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace Dispatch {

void
AddSuccessTokens(RetryBudget& aBudget)
{
  aBudget.mTokens = std::min(aBudget.mMaxTokens, aBudget.mTokens + aBudget.mTokensPerSuccess);
}

bool
TakeRetryToken(RetryBudget& aBudget, Common::Timestamp aNow)
{
  if (aBudget.mRefilledAt == Common::Timestamp{}) {
    aBudget.mRefilledAt = aNow;
  }
  if (aNow > aBudget.mRefilledAt) {
    const std::chrono::duration<double> elapsed = aNow - aBudget.mRefilledAt;
    aBudget.mTokens =
      std::min(aBudget.mMaxTokens, aBudget.mTokens + elapsed.count() * aBudget.mTokensPerSecond);
    aBudget.mRefilledAt = aNow;
  }
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

} // namespace Dispatch
