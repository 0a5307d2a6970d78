#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Common/Clock.h"
#include "Common/Histogram.h"

namespace LoadTool {

struct LoadConfig
{
  /// Servers as (loopback address, port); requests take them in turn.
  std::vector<std::pair<std::string, int>> mTargets;
  std::string mHost;
  std::string mMethod = "POST";
  std::string mPath = "/";
  std::string mClient;
  std::size_t mBodyBytes = 64;
  double mPerSecond = 100;
  Common::Duration mLength = std::chrono::seconds(5);
  std::size_t mConnections = 16;
  Common::Duration mTimeout = std::chrono::seconds(10);
  /// Sent in Ibisshed-Deadline-Ms; 0 sends none.
  std::int64_t mDeadlineMillis = 0;
  /// Sends an Idempotency-Key and its time with each request.
  bool mKeyed = false;
  bool mEven = false;
  /// Each answer must contain the body of its request.
  bool mCheckEcho = false;
  std::uint64_t mSeed = 1;
};

struct LoadResult
{
  std::uint64_t mSent = 0;
  /// Answers with a 2xx status.
  std::uint64_t mAnswered = 0;
  /// Answers by outcome header; "none" where there is no such header.
  std::map<std::string, std::uint64_t> mOutcomes;
  std::map<int, std::uint64_t> mStatuses;
  std::uint64_t mTransportErrors = 0;
  /// Answers that did not contain the body of their request.
  std::uint64_t mWrongAnswers = 0;
  /// Microseconds from the due time to the end of the answer, for answers with a 2xx status.
  Common::Histogram mLatency;
  /// Microseconds by which requests were sent after their due time, because no connection was free.
  Common::Histogram mSendDelay;
  Common::Duration mElapsed{};
};

/// Sends the load and waits for all answers. Runs at most mLength plus mTimeout.
LoadResult
RunLoad(const LoadConfig& aConfig);

} // namespace LoadTool
