#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Outcome.h"

/// Checks the invariants of the request path by what callers and endpoints can observe:
/// I1: an endpoint has no more requests than slots and no more connections than allowed.
/// I4: a caller gets the whole answer to its own request.
/// I5: a request that was answered `not-run` does not run.
/// I6: a request that is not idempotent runs at most once.
/// I7: a leaving endpoint gets no new work.
namespace Simulation {

/// One HTTP request of a caller. Repeated submissions of a logical request have the same key and
/// body.
struct Submission
{
  std::uint32_t mNumber = 0;
  std::uint32_t mLogicalRequest = 0;
  bool mIdempotent = false;
  Common::Timestamp mDeadline;
};

/// Records what callers and endpoints observe and collects violations.
class InvariantChecker
{
public:
  InvariantChecker(std::size_t aEndpoints, std::int64_t aSlots, std::int64_t aConnections);

  /// The endpoint starts to work on the request.
  void requestStarted(std::size_t aEndpoint, const Submission& aSubmission);
  void requestEnded(std::size_t aEndpoint);
  void setIdleConnections(std::size_t aEndpoint, std::int64_t aIdleConnections);
  /// From now on the endpoint must not get new work.
  void endpointLeaving(std::size_t aEndpoint);
  /// The caller received an answer; aBody is checked only for Ran.
  void answered(const Submission& aSubmission,
                Common::Outcome aOutcome,
                const std::string& aBody,
                Common::Timestamp aNow);
  /// The caller's connection ended without an answer.
  void connectionEnded(const Submission& aSubmission);
  /// At the end of a schedule, checks that each of aSubmissions submissions had exactly one answer
  /// or end of its connection.
  void checkEnds(std::uint32_t aSubmissions);

  const std::vector<std::string>& violations() const { return mViolations; }
  /// Submissions that were answered with this outcome.
  std::uint32_t answerCount(Common::Outcome aOutcome) const;

private:
  struct Endpoint
  {
    std::int64_t mInProgress = 0;
    std::int64_t mIdleConnections = 0;
    bool mLeaving = false;
  };

  void addViolation(const std::string& aText, std::uint32_t aNumber);

  std::vector<Endpoint> mEndpoints;
  std::int64_t mSlots;
  std::int64_t mConnections;
  std::map<std::uint32_t, int> mRunsByLogicalRequest;
  std::map<std::uint32_t, int> mRunsBySubmission;
  std::map<std::uint32_t, Common::Outcome> mAnswers;
  std::map<std::uint32_t, int> mEndCounts;
  std::vector<std::string> mViolations;
};

/// The response body that an endpoint sends for a logical request.
std::string
ExpectedBody(std::uint32_t aLogicalRequest);

} // namespace Simulation
