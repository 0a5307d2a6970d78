#pragma once

#include <memory>
#include <optional>
#include <set>

#include <boost/asio/steady_timer.hpp>

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
  /// Answers requests that arrive from now on with Unavailable, and open ones at aDeadline with
  /// Undecided if they may still take effect.
  void rejectNewRequests(Timestamp aDeadline);

private:
  using ResponseCallback = std::function<void(JobResponse)>;
  struct OpenRequest;
  struct Submission;

  /// Answers a request that has not been answered yet.
  void answer(const std::shared_ptr<OpenRequest>& aOpen, const JobResponse& aResponse);
  bool isOpen(const std::shared_ptr<OpenRequest>& aOpen) const;
  void dispatch(const JobRequest& aRequest, const std::shared_ptr<OpenRequest>& aOpen);
  void rejectInvalid(const Common::JobId& aJob,
                     const std::string& aReason,
                     const ResponseCallback& aRespond);
  void submit(const QueueRoute& aRoute,
              const Common::JobId& aJob,
              const JobRequest& aRequest,
              const std::shared_ptr<OpenRequest>& aOpen);
  /// Writes to the store, or through the coordinator's process while the store rejects this one.
  /// Calls aDone unless the request is answered by then.
  void writeOrRelay(const std::shared_ptr<OpenRequest>& aOpen,
                    const Store::Transaction& aTransaction,
                    Duration aTimeout,
                    CoordinatorLink::WriteCallback aDone);
  void writeSubmission(const std::shared_ptr<Submission>& aSubmission);
  void handleWriteResult(const std::shared_ptr<Submission>& aSubmission,
                         const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  void retryWrite(const std::shared_ptr<Submission>& aSubmission);
  void showJob(const Common::JobId& aJob, ResponseCallback aRespond);
  /// Answers without a coordinator, from the job's progress record.
  void showJobFromStore(const Common::JobId& aJob, ResponseCallback aRespond);
  void showPending(const Common::RouteId& aQueue, ResponseCallback aRespond);
  void cancel(const Common::JobId& aJob,
              Timestamp aDeadline,
              const std::shared_ptr<OpenRequest>& aOpen);
  /// Writes the cancellation on the condition that the submission's version is still aSubmission; 0
  /// stands for no submission.
  void writeCancellation(const Common::JobId& aJob,
                         Store::Version aSubmission,
                         Timestamp aDeadline,
                         const std::shared_ptr<OpenRequest>& aOpen);

  Context& mContext;
  CoordinatorLink& mLink;
  std::shared_ptr<const QueueTables> mTables;
  bool mStoreConnected = false;
  std::set<std::shared_ptr<OpenRequest>> mOpenRequests;
  bool mRejectsNewRequests = false;
  boost::asio::steady_timer mRejectTimer;
};

} // namespace Node
