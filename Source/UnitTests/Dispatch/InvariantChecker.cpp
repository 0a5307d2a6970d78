#include "UnitTests/Dispatch/InvariantChecker.h"

namespace Simulation {

using Common::Outcome;

InvariantChecker::InvariantChecker(std::size_t aEndpoints,
                                   std::int64_t aSlots,
                                   std::int64_t aConnections)
  : mEndpoints(aEndpoints)
  , mSlots(aSlots)
  , mConnections(aConnections)
{
}

void
InvariantChecker::requestStarted(std::size_t aEndpoint, const Submission& aSubmission)
{
  Endpoint& endpoint = mEndpoints[aEndpoint];
  ++endpoint.mInProgress;
  if (endpoint.mInProgress > mSlots) {
    addViolation("I1: more requests than slots at endpoint", static_cast<std::uint32_t>(aEndpoint));
  }
  if (endpoint.mInProgress + endpoint.mIdleConnections > mConnections) {
    addViolation("I1: more connections than allowed at endpoint",
                 static_cast<std::uint32_t>(aEndpoint));
  }
  if (endpoint.mLeaving) {
    addViolation("I7: new work at leaving endpoint", static_cast<std::uint32_t>(aEndpoint));
  }
  if (++mRunsByLogicalRequest[aSubmission.mLogicalRequest] > 1 && !aSubmission.mIdempotent) {
    addViolation("I6: ran more than once: logical request", aSubmission.mLogicalRequest);
  }
  ++mRunsBySubmission[aSubmission.mNumber];
  const auto answer = mAnswers.find(aSubmission.mNumber);
  if (answer != mAnswers.end() && answer->second == Outcome::NotRun) {
    addViolation("I5: ran after `not-run`: submission", aSubmission.mNumber);
  }
}

void
InvariantChecker::requestEnded(std::size_t aEndpoint)
{
  --mEndpoints[aEndpoint].mInProgress;
}

void
InvariantChecker::setIdleConnections(std::size_t aEndpoint, std::int64_t aIdleConnections)
{
  mEndpoints[aEndpoint].mIdleConnections = aIdleConnections;
}

void
InvariantChecker::endpointLeaving(std::size_t aEndpoint)
{
  mEndpoints[aEndpoint].mLeaving = true;
}

void
InvariantChecker::answered(const Submission& aSubmission,
                           Outcome aOutcome,
                           const std::string& aBody,
                           Common::Timestamp aNow)
{
  if (++mEndCounts[aSubmission.mNumber] > 1) {
    addViolation("two answers to submission", aSubmission.mNumber);
  }
  mAnswers[aSubmission.mNumber] = aOutcome;
  if (aNow > aSubmission.mDeadline) {
    addViolation("answered after the deadline: submission", aSubmission.mNumber);
  }
  if (aOutcome == Outcome::NotRun && mRunsBySubmission[aSubmission.mNumber] > 0) {
    addViolation("I5: answered `not-run` but ran: submission", aSubmission.mNumber);
  }
  if (aOutcome == Outcome::Ran && mRunsByLogicalRequest[aSubmission.mLogicalRequest] == 0) {
    addViolation("answered `ran` but never ran: submission", aSubmission.mNumber);
  }
  if (aOutcome == Outcome::Ran && aBody != ExpectedBody(aSubmission.mLogicalRequest)) {
    addViolation("I4: not the whole answer to submission", aSubmission.mNumber);
  }
}

void
InvariantChecker::connectionEnded(const Submission& aSubmission)
{
  ++mEndCounts[aSubmission.mNumber];
}

void
InvariantChecker::checkEnds(std::uint32_t aSubmissions)
{
  for (std::uint32_t number = 0; number < aSubmissions; ++number) {
    if (mEndCounts[number] != 1) {
      addViolation("not exactly one end of submission", number);
    }
  }
}

std::uint32_t
InvariantChecker::answerCount(Outcome aOutcome) const
{
  std::uint32_t count = 0;
  for (const auto& [number, outcome] : mAnswers) {
    count += outcome == aOutcome ? 1 : 0;
  }
  return count;
}

void
InvariantChecker::addViolation(const std::string& aText, std::uint32_t aNumber)
{
  mViolations.push_back(aText + " " + std::to_string(aNumber));
}

std::string
ExpectedBody(std::uint32_t aLogicalRequest)
{
  return "answer " + std::to_string(aLogicalRequest) + std::string(aLogicalRequest % 7, '.');
}

} // namespace Simulation
