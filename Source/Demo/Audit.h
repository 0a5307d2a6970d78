#pragma once

#include <string>
#include <vector>

namespace Demo {

struct AuditOptions
{
  std::string mResultFile;
  std::vector<std::string> mEndpoints;
  std::vector<std::string> mWorkers;
  /// What one endpoint may serve at one time, and one worker run.
  int mSlots = 8;
  int mMilliCores = 12000;
  int mMilliCoresPerTask = 2000;
};

/// Prints what is wrong and the summary line. True if everything is as it must be.
bool
RunAudit(const AuditOptions& aOptions);

} // namespace Demo
