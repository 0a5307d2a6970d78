#pragma once

#include "Common/Clock.h"

namespace Dispatch {

/// Token bucket for retries and hedges of one route on one entry. It is filled in proportion to the
/// successes plus a small constant rate, so that retries cannot multiply an overload.
struct RetryBudget
{
  double mTokensPerSuccess = 0.1;
  double mTokensPerSecond = 0.5;
  double mMaxTokens = 20;
  double mTokens = 1;
  Common::Timestamp mRefilledAt;
};

/// Adds the tokens for one successful request.
void
AddSuccessTokens(RetryBudget& aBudget);

/// Takes a token. Returns false if there is none; the request must not be retried then.
bool
TakeRetryToken(RetryBudget& aBudget, Common::Timestamp aNow);

} // namespace Dispatch
