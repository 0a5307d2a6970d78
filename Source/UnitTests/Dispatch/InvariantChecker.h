#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Outcome.h"

/// Checks the invariants of the request path from what callers and endpoints see, nothing else.
namespace Simulation {

/// One HTTP request of a caller. Submissions with the same mLogicalRequest carry the same key and
/// body.
struct Submission
{
  std::uint32_t mNumber = 0;
  std::uint32_t mLogicalRequest = 0;
  bool mIdempotent = false;
  Common::Timestamp mDeadline;
};

class InvariantChecker
{
public:
  InvariantChecker(std::size_t aEndpoints, std::int64_t aSlots, std::int64_t aConnections);

  void requestStarted(std::size_t aEndpoint, const Submission& aSubmission);
  void requestEnded(std::size_t aEndpoint);
  void setIdleConnections(std::size_t aEndpoint, std::int64_t aIdleConnections);
  void endpointLeaving(std::size_t aEndpoint);
  void answered(const Submission& aSubmission,
                Common::Outcome aOutcome,
                const std::string& aBody,
                Common::Timestamp aNow);
  /// The caller saw its connection end.
  void connectionEnded(const Submission& aSubmission);
  /// At the end of a schedule: every submission had exactly one end.
  void checkEnds(std::uint32_t aSubmissions);

  const std::vector<std::string>& violations() const { return mViolations; }
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

/// The whole answer that an endpoint gives to a logical request.
std::string
ExpectedBody(std::uint32_t aLogicalRequest);

} // namespace Simulation
