#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace Dispatch {

void
NoteSuccess(RetryBudget& aBudget)
{
  aBudget.mTokens = std::min(aBudget.mMaxTokens, aBudget.mTokens + aBudget.mPerSuccess);
}

bool
TakeRetry(RetryBudget& aBudget, Common::Timestamp aNow)
{
  if (aBudget.mRefilled == Common::Timestamp{}) {
    aBudget.mRefilled = aNow;
  }
  if (aNow > aBudget.mRefilled) {
    const std::chrono::duration<double> elapsed = aNow - aBudget.mRefilled;
    aBudget.mTokens =
      std::min(aBudget.mMaxTokens, aBudget.mTokens + elapsed.count() * aBudget.mPerSecond);
    aBudget.mRefilled = aNow;
  }
  if (aBudget.mTokens < 1) {
    return false;
  }
  aBudget.mTokens -= 1;
  return true;
}

} // namespace Dispatch
