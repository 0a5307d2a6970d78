#include "Node/StoreKeys.h"

#include <utility>

namespace Node {

namespace {

constexpr std::string_view kSubmissionSuffix = "/submission";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr std::string_view kFenceSuffix = "/fence";

} // namespace

std::string
SubmissionKey(const Common::JobId& aJob)
{
  return kJobPrefix + aJob.str() + std::string(kSubmissionSuffix);
}

std::string
CancelKey(const Common::JobId& aJob)
{
  return kJobPrefix + aJob.str() + std::string(kCancelSuffix);
}

std::string
FenceKey(const Common::JobId& aJob)
{
  return kJobPrefix + aJob.str() + std::string(kFenceSuffix);
}

std::string
ProgressKey(const Common::JobId& aJob)
{
  return kProgressPrefix + aJob.str();
}

std::string
WorkerKey(const Scheduling::WorkerLifetime& aLifetime)
{
  return kWorkerPrefix + aLifetime.mWorker.str() + '/' +
         std::to_string(aLifetime.mStartedAt.value());
}

std::optional<JobKey>
ParseJobKey(const std::string& aKey)
{
  if (!aKey.starts_with(kJobPrefix)) {
    return std::nullopt;
  }
  const std::string_view rest = std::string_view(aKey).substr(kJobPrefix.size());
  const auto job = [&rest](std::string_view aSuffix) {
    return Common::JobId(std::string(rest.substr(0, rest.size() - aSuffix.size())));
  };
  const std::pair<std::string_view, JobKeyKind> kinds[] = {
    { kSubmissionSuffix, JobKeyKind::Submission },
    { kCancelSuffix, JobKeyKind::Cancel },
    { kFenceSuffix, JobKeyKind::Fence },
  };
  for (const auto& [suffix, kind] : kinds) {
    if (rest.ends_with(suffix) && rest.size() > suffix.size()) {
      return JobKey{ job(suffix), kind };
    }
  }
  return std::nullopt;
}

} // namespace Node
