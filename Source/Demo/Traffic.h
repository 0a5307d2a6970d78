#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Demo {

struct TrafficOptions
{
  /// "ip:port" of the entries. Keyed requests and jobs use the first one, which the demo lets live.
  std::vector<std::string> mEntries;
  int mSeconds = 30;
  int mCallers = 4;
  int mPauseMillis = 50;
  int mJobs = 6;
  int mTasks = 4;
  int mTaskMillis = 6000;
  std::string mResultFile;
};

/// Sends the traffic, waits for the jobs, and writes the result file. False if it cannot be
/// written.
bool
RunTraffic(const TrafficOptions& aOptions);

} // namespace Demo
