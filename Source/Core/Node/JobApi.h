#pragma once

#include <memory>
#include <optional>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "Node/Context.h"
#include "Node/CoordinatorLink.h"
#include "Node/StoreContact.h"

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
  /// How a write reaches the store.
  enum class Way
  {
    None,
    Store,
    /// Through the coordinator's process.
    Relay,
  };

  /// Writes to the store the given way, and through the coordinator's process if the store rejects
  /// the write. Calls aDone unless the request is answered by then.
  void writeOrRelay(const std::shared_ptr<OpenRequest>& aOpen,
                    const Store::Transaction& aTransaction,
                    Way aWay,
                    Duration aTimeout,
                    const CoordinatorLink::WriteCallback& aDone);
  /// One write the given way, whose result updates what is known of that way.
  void write(Way aWay,
             const Store::Transaction& aTransaction,
             Duration aTimeout,
             CoordinatorLink::WriteCallback aDone);
  StoreContact& contactOf(Way aWay);
  /// Whether the coordinator's process may reach the store when this process can't.
  bool canRelay() const;
  /// Way for the next write of a submission; None if there is none now.
  Way chooseWay(const Submission& aSubmission) const;
  /// Way for a submission of which nothing was written yet.
  Way chooseSafeWay() const;
  /// Whether a submission of which nothing was written may soon find a way. Sends a probe if all
  /// ways are silent.
  bool isWorthWaiting(Submission& aSubmission);
  /// Writes a key that nothing depends on, so that the next answer of the store is noticed.
  void sendProbe();
  Store::Transaction submissionWrite(const Submission& aSubmission) const;
  void writeSubmission(const std::shared_ptr<Submission>& aSubmission);
  void handleWriteResult(const std::shared_ptr<Submission>& aSubmission,
                         const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  void handleConflict(const std::shared_ptr<Submission>& aSubmission,
                      const Store::WriteFailure& aFailure);
  void writeLater(const std::shared_ptr<Submission>& aSubmission, Duration aDelay);
  /// Starts the timer that settles the submission before the caller's deadline.
  void scheduleSettlement(const std::shared_ptr<Submission>& aSubmission, Timestamp aTime);
  /// Makes sure, if a write was not answered, that the submission is either stored or never will
  /// be.
  void settle(const std::shared_ptr<Submission>& aSubmission);
  /// Changes the fence of the job unless the submission is stored.
  void writeFence(const std::shared_ptr<Submission>& aSubmission);
  void handleFenceResult(const std::shared_ptr<Submission>& aSubmission,
                         const tl::expected<Store::Version, Store::WriteFailure>& aResult);
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
  StoreContact mStoreContact;
  StoreContact mRelayContact;
  Timestamp mProbeSent;
  std::set<std::shared_ptr<OpenRequest>> mOpenRequests;
  bool mRejectsNewRequests = false;
  boost::asio::steady_timer mRejectTimer;
};

} // namespace Node
