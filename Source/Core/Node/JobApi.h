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
  void handleRequest(const JobRequest& aCall, std::function<void(JobResponse)> aRespond);

private:
  using Respond = std::function<void(JobResponse)>;
  struct Submission;

  void dispatch(const JobRequest& aCall, Respond aRespond);
  void refuseInvalid(const Common::JobId& aJob,
                     const std::string& aReason,
                     const Respond& aRespond);
  void submit(const QueueRoute& aRoute,
              const Common::JobId& aJob,
              const JobRequest& aCall,
              Respond aRespond);
  /// Writes directly, or through the coordinator's process while the store turns this one away.
  void writeAnyway(const Store::Transaction& aTransaction,
                   Duration aTimeout,
                   CoordinatorLink::WriteCallback aDone);
  void write(const std::shared_ptr<Submission>& aSubmission);
  void takeWrite(const std::shared_ptr<Submission>& aSubmission,
                 const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  void retryWrite(const std::shared_ptr<Submission>& aSubmission);
  void finish(const std::shared_ptr<Submission>& aSubmission, JobResponse aAnswer);
  void show(const Common::JobId& aJob, Respond aRespond);
  void showFromStore(const Common::JobId& aJob, Respond aRespond);
  void showPending(const Common::RouteId& aQueue, Respond aRespond);
  void cancel(const Common::JobId& aJob, Timestamp aDeadline, Respond aRespond);
  void writeCancel(const Common::JobId& aJob,
                   Store::Version aSubmission,
                   Timestamp aDeadline,
                   Respond aRespond);

  Context& mContext;
  CoordinatorLink& mLink;
  std::shared_ptr<const QueueTables> mTables;
  bool mStoreConnected = false;
};

} // namespace Node
