#pragma once

#include "Common/Clock.h"

namespace Dispatch {

/// Tokens for retries and hedges of one route on one entry: a part of the successes plus a small
/// constant a second, so that retries cannot multiply an overload.
struct RetryBudget
{
  double mTokensPerSuccess = 0.1;
  double mTokensPerSecond = 0.5;
  double mMaxTokens = 20;
  double mTokens = 1;
  Common::Timestamp mRefilledAt;
};

void
AddSuccessTokens(RetryBudget& aBudget);

/// Takes a token. False if there is none; then the request must not be tried again.
bool
TakeRetryToken(RetryBudget& aBudget, Common::Timestamp aNow);

} // namespace Dispatch
