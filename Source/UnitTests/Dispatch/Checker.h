#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Outcome.h"

/// Checks the invariants of the request path from what callers and endpoints see, nothing else.
namespace Simulation {

/// One HTTP request of a caller. Submissions with the same mLogical carry the same key and body.
struct Submission
{
  std::uint32_t mNumber = 0;
  std::uint32_t mLogical = 0;
  bool mIdempotent = false;
  Common::Timestamp mDeadline;
};

class Checker
{
public:
  Checker(std::size_t aEndpoints, std::int64_t aSlots, std::int64_t aConnections);

  void startedAt(std::size_t aEndpoint, const Submission& aSubmission);
  void endedAt(std::size_t aEndpoint);
  void connectionsAt(std::size_t aEndpoint, std::int64_t aKept);
  void leavingAt(std::size_t aEndpoint);
  void told(const Submission& aSubmission,
            Common::Outcome aOutcome,
            const std::string& aBody,
            Common::Timestamp aNow);
  /// The caller saw its connection end.
  void cutOff(const Submission& aSubmission);
  /// At the end of a schedule: every submission had exactly one end.
  void finish(std::uint32_t aSubmissions);

  const std::vector<std::string>& findings() const { return mFindings; }
  std::uint32_t toldCount(Common::Outcome aOutcome) const;

private:
  struct Endpoint
  {
    std::int64_t mInProgress = 0;
    std::int64_t mKept = 0;
    bool mLeaving = false;
  };

  void find(const std::string& aText, std::uint32_t aNumber);

  std::vector<Endpoint> mEndpoints;
  std::int64_t mSlots;
  std::int64_t mConnections;
  std::map<std::uint32_t, int> mRunsOfLogical;
  std::map<std::uint32_t, int> mRunsOfSubmission;
  std::map<std::uint32_t, Common::Outcome> mTold;
  std::map<std::uint32_t, int> mEnds;
  std::vector<std::string> mFindings;
};

/// The whole answer that an endpoint gives to a logical request.
std::string
AnswerOf(std::uint32_t aLogical);

} // namespace Simulation
