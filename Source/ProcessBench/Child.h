#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "Common/Clock.h"

namespace ProcessBench {

struct Command
{
  std::vector<std::string> mArguments;
  std::string mOutputFile;
  std::string mErrorFile;
  /// "NAME=VALUE"; the process also has the environment of this one.
  std::vector<std::string> mEnvironment;
  /// The files are continued instead of begun anew.
  bool mAppends = false;
};

/// What the system counts for a process.
struct Usage
{
  double mResidentMegabytes = 0;
  double mCpuSeconds = 0;
};

/// A process that this program started. It ends with this object, with the thread that started it,
/// and by itself after kMaxSeconds, so that an aborted run leaves none behind.
class Child
{
public:
  static constexpr unsigned kMaxSeconds = 300;

  explicit Child(const Command& aCommand);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// Asks the process to stop gracefully.
  void terminate() const;
  void signal(int aSignal) const;
  /// Whether the process has ended, in whatever way.
  bool hasEnded();
  /// The exit status, or nothing if the process still runs after aLimit or was ended by a signal.
  std::optional<int> wait(Common::Duration aLimit);
  Usage usage() const;
  /// -1 once the process has ended.
  pid_t pid() const { return mPid; }

private:
  pid_t mPid = -1;
  int mStatus = 0;
};

} // namespace ProcessBench
