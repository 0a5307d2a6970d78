#pragma once

#include <memory>
#include <optional>

#include "Node/Context.h"
#include "Node/CoordinatorLink.h"

namespace Node {

/// Answers callers: takes jobs in, cancels them and shows their state.
class JobApi
{
public:
  JobApi(Context& aContext, CoordinatorLink& aLink);

  void setTables(std::shared_ptr<const QueueTables> aTables) { mTables = std::move(aTables); }
  /// Whether the store answers this process.
  void setStoreConnected(bool aConnected) { mStoreConnected = aConnected; }
  void handleRequest(const JobRequest& aRequest, std::function<void(JobResponse)> aRespond);

private:
  using ResponseCallback = std::function<void(JobResponse)>;
  struct Submission;

  void dispatch(const JobRequest& aRequest, ResponseCallback aRespond);
  void rejectInvalid(const Common::JobId& aJob,
                     const std::string& aReason,
                     const ResponseCallback& aRespond);
  void submit(const QueueRoute& aRoute,
              const Common::JobId& aJob,
              const JobRequest& aRequest,
              ResponseCallback aRespond);
  /// Writes directly, or through the coordinator's process while the store turns this one away.
  void writeOrRelay(const Store::Transaction& aTransaction,
                    Duration aTimeout,
                    CoordinatorLink::WriteCallback aDone);
  void writeSubmission(const std::shared_ptr<Submission>& aSubmission);
  void handleWriteResult(const std::shared_ptr<Submission>& aSubmission,
                         const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  void retryWrite(const std::shared_ptr<Submission>& aSubmission);
  void finish(const std::shared_ptr<Submission>& aSubmission, JobResponse aResponse);
  void showJob(const Common::JobId& aJob, ResponseCallback aRespond);
  void showJobFromStore(const Common::JobId& aJob, ResponseCallback aRespond);
  void showPending(const Common::RouteId& aQueue, ResponseCallback aRespond);
  void cancel(const Common::JobId& aJob, Timestamp aDeadline, ResponseCallback aRespond);
  void writeCancellation(const Common::JobId& aJob,
                         Store::Version aSubmission,
                         Timestamp aDeadline,
                         ResponseCallback aRespond);

  Context& mContext;
  CoordinatorLink& mLink;
  std::shared_ptr<const QueueTables> mTables;
  bool mStoreConnected = false;
};

} // namespace Node
