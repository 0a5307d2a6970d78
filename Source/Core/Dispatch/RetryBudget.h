#pragma once

#include "Common/Clock.h"

namespace Dispatch {

/// Tokens for retries and hedges of one route on one entry: a part of the successes plus a small
/// constant a second, so that retries cannot multiply an overload.
struct RetryBudget
{
  double mPerSuccess = 0.1;
  double mPerSecond = 0.5;
  double mMaxTokens = 20;
  double mTokens = 1;
  Common::Timestamp mRefilled;
};

void
NoteSuccess(RetryBudget& aBudget);

/// Takes a token. False if there is none; then the request must not be tried again.
bool
TakeRetry(RetryBudget& aBudget, Common::Timestamp aNow);

} // namespace Dispatch
