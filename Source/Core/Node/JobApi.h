#pragma once

#include <memory>
#include <optional>

#include "Node/Context.h"
#include "Node/CoordinatorLink.h"

namespace Node {

/// Serves the callers' requests on jobs: submits, cancels and shows them.
class JobApi
{
public:
  JobApi(Context& aContext, CoordinatorLink& aLink);

  /// Sets the operators' tables. Without tables every request is answered with Unavailable.
  void setTables(std::shared_ptr<const QueueTables> aTables) { mTables = std::move(aTables); }
  /// Whether the store answers this process.
  void setStoreConnected(bool aConnected) { mStoreConnected = aConnected; }
  /// Serves a request. Calls aRespond once and counts the response.
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
  /// Writes to the store, or through the coordinator's process while the store rejects this one.
  void writeOrRelay(const Store::Transaction& aTransaction,
                    Duration aTimeout,
                    CoordinatorLink::WriteCallback aDone);
  void writeSubmission(const std::shared_ptr<Submission>& aSubmission);
  void handleWriteResult(const std::shared_ptr<Submission>& aSubmission,
                         const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  void retryWrite(const std::shared_ptr<Submission>& aSubmission);
  void finishSubmission(const std::shared_ptr<Submission>& aSubmission, JobResponse aResponse);
  void showJob(const Common::JobId& aJob, ResponseCallback aRespond);
  /// Answers without a coordinator, from the job's progress record.
  void showJobFromStore(const Common::JobId& aJob, ResponseCallback aRespond);
  void showPending(const Common::RouteId& aQueue, ResponseCallback aRespond);
  void cancel(const Common::JobId& aJob, Timestamp aDeadline, ResponseCallback aRespond);
  /// Writes the cancellation on the condition that the submission's version is still aSubmission; 0
  /// stands for no submission.
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
