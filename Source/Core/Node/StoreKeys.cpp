#include "Node/StoreKeys.h"

namespace Node {

namespace {

constexpr std::string_view kSubmissionSuffix = "/submission";
constexpr std::string_view kCancelSuffix = "/cancel";

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
ProgressKey(const Common::JobId& aJob)
{
  return kProgressPrefix + aJob.str();
}

std::string
WorkerKey(const Scheduling::WorkerLifetime& aLife)
{
  return kWorkerPrefix + aLife.mWorker.str() + '/' + std::to_string(aLife.mStartedAt.value());
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
  if (rest.ends_with(kSubmissionSuffix) && rest.size() > kSubmissionSuffix.size()) {
    return JobKey{ job(kSubmissionSuffix), JobKeyKind::Submission };
  }
  if (rest.ends_with(kCancelSuffix) && rest.size() > kCancelSuffix.size()) {
    return JobKey{ job(kCancelSuffix), JobKeyKind::Cancel };
  }
  return std::nullopt;
}

} // namespace Node
