#include "UnitTests/Dispatch/Checker.h"

namespace Simulation {

using Common::Outcome;

Checker::Checker(std::size_t aEndpoints, std::int64_t aSlots, std::int64_t aConnections)
  : mEndpoints(aEndpoints)
  , mSlots(aSlots)
  , mConnections(aConnections)
{
}

void
Checker::startedAt(std::size_t aEndpoint, const Submission& aSubmission)
{
  Endpoint& endpoint = mEndpoints[aEndpoint];
  ++endpoint.mInProgress;
  if (endpoint.mInProgress > mSlots) {
    find("I1: more requests than slots at endpoint", static_cast<std::uint32_t>(aEndpoint));
  }
  if (endpoint.mInProgress + endpoint.mKept > mConnections) {
    find("I1: more connections than allowed at endpoint", static_cast<std::uint32_t>(aEndpoint));
  }
  if (endpoint.mLeaving) {
    find("I7: new work at leaving endpoint", static_cast<std::uint32_t>(aEndpoint));
  }
  if (++mRunsOfLogical[aSubmission.mLogical] > 1 && !aSubmission.mIdempotent) {
    find("I6: ran twice: logical request", aSubmission.mLogical);
  }
  ++mRunsOfSubmission[aSubmission.mNumber];
  const auto told = mTold.find(aSubmission.mNumber);
  if (told != mTold.end() && told->second == Outcome::NotRun) {
    find("I5: ran after `not-run`: submission", aSubmission.mNumber);
  }
}

void
Checker::endedAt(std::size_t aEndpoint)
{
  --mEndpoints[aEndpoint].mInProgress;
}

void
Checker::connectionsAt(std::size_t aEndpoint, std::int64_t aKept)
{
  mEndpoints[aEndpoint].mKept = aKept;
}

void
Checker::leavingAt(std::size_t aEndpoint)
{
  mEndpoints[aEndpoint].mLeaving = true;
}

void
Checker::told(const Submission& aSubmission,
              Outcome aOutcome,
              const std::string& aBody,
              Common::Timestamp aNow)
{
  if (++mEnds[aSubmission.mNumber] > 1) {
    find("two answers to submission", aSubmission.mNumber);
  }
  mTold[aSubmission.mNumber] = aOutcome;
  if (aNow > aSubmission.mDeadline) {
    find("answered after the deadline: submission", aSubmission.mNumber);
  }
  if (aOutcome == Outcome::NotRun && mRunsOfSubmission[aSubmission.mNumber] > 0) {
    find("I5: told `not-run` but ran: submission", aSubmission.mNumber);
  }
  if (aOutcome == Outcome::Ran && mRunsOfLogical[aSubmission.mLogical] == 0) {
    find("told `ran` but never ran: submission", aSubmission.mNumber);
  }
  if (aOutcome == Outcome::Ran && aBody != AnswerOf(aSubmission.mLogical)) {
    find("I4: not the whole answer to submission", aSubmission.mNumber);
  }
}

void
Checker::cutOff(const Submission& aSubmission)
{
  ++mEnds[aSubmission.mNumber];
}

void
Checker::finish(std::uint32_t aSubmissions)
{
  for (std::uint32_t number = 0; number < aSubmissions; ++number) {
    if (mEnds[number] != 1) {
      find("no single end of submission", number);
    }
  }
}

std::uint32_t
Checker::toldCount(Outcome aOutcome) const
{
  std::uint32_t count = 0;
  for (const auto& [number, outcome] : mTold) {
    count += outcome == aOutcome ? 1 : 0;
  }
  return count;
}

void
Checker::find(const std::string& aText, std::uint32_t aNumber)
{
  mFindings.push_back(aText + " " + std::to_string(aNumber));
}

std::string
AnswerOf(std::uint32_t aLogical)
{
  return "answer " + std::to_string(aLogical) + std::string(aLogical % 7, '.');
}

} // namespace Simulation
