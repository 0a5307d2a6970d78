#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Admission/Admission.h"
#include "Bench/Measure.h"
#include "Common/Histogram.h"
#include "Common/Random.h"

/// One agent with its endpoint in virtual time, under open-loop arrivals.
namespace Bench {

using Common::Duration;
using Common::Timestamp;

/// A stream of requests of one class and client.
struct Stream
{
  Tables::Urgency mUrgency = Tables::Urgency::Standard;
  std::string mClient = "client";
  /// Requests a second.
  double mRate = 0;
  Duration mService{ std::chrono::milliseconds(20) };
  /// Number of exponential phases of a service time: 1 is exponential, more is steadier.
  int mPhases = 2;
  Duration mDeadline{ std::chrono::seconds(1) };
};

struct Endpoint
{
  std::int64_t mSlots = 8;
  /// Requests in progress above this slow each other down; 0 for an endpoint that never slows.
  std::int64_t mKnee = 0;
};

enum class PolicyKind
{
  /// The gate of the Admission library.
  Gate,
  /// The gate without its adaptive limit.
  StaticLimit,
  /// First come, first served, no shedding.
  FirstCome,
};

/// How callers act on a request that is refused or not answered within its deadline.
enum class RetryKind
{
  None,
  Budget,
  Unlimited,
};

struct Scenario
{
  Endpoint mEndpoint;
  std::vector<Stream> mStreams;
  std::vector<Tables::MinShare> mMinShares;
  PolicyKind mPolicy = PolicyKind::Gate;
  RetryKind mRetries = RetryKind::None;
  /// A quick run plays a third of the time; the bounds are the same.
  Duration mRunTime{ std::chrono::seconds(Quick() ? 40 : 120) };
  /// Not counted, for the policy to learn.
  Duration mWarmUp{ std::chrono::seconds(10) };
  std::uint64_t mSeed = 1;
};

struct StreamResult
{
  std::uint64_t mOffered = 0;
  /// Answered within the deadline of the caller.
  std::uint64_t mGood = 0;
  std::uint64_t mLate = 0;
  std::uint64_t mRefused = 0;
  double mSlotSeconds = 0;
  /// Microseconds from first offer to answer, of all answers.
  Common::Histogram mLatency;
};

std::vector<StreamResult>
RunScenario(const Scenario& aScenario);

} // namespace Bench
