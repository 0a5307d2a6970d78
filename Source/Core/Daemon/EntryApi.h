#pragma once

#include <functional>
#include <string>

#include "Daemon/EntryDispatch.h"
#include "Daemon/EntryPools.h"
#include "Daemon/Peers.h"
#include "Daemon/Runtime.h"
#include "Daemon/SpreadService.h"
#include "Http/BodyShape.h"
#include "Http/Message.h"

namespace Daemon {

/// What an entry makes of the body of a request.
Http::BodyKind
BodyKindOf(const Http::Request& aRequest);

/// The HTTP interface of an entry: requests of callers, and the paths of operators under
/// /ibisshed/v1/.
class EntryApi
{
public:
  EntryApi(Runtime& aRuntime,
           EntryDispatch& aDispatch,
           EntryPools& aPools,
           PeerBook& aPeers,
           CellBook& aCells,
           SpreadService& aSpread);

  Http::Response answer(Http::Request&& aRequest);
  std::size_t bodyLimit(const Http::Request& aRequest) const;

private:
  Http::Response answerCaller(Http::Request&& aRequest);
  Http::Response answerOperator(const Http::Request& aRequest);

  Http::Response showTables() const;
  Http::Response showRevision(const std::string& aNumber);
  Http::Response editTables(const Http::Request& aRequest);
  Http::Response showHistory();
  Http::Response showStatus() const;

  Http::Response submitJob(const Http::Request& aRequest);
  Http::Response listJobs();
  Http::Response showJob(const std::string& aJob);
  Http::Response cancelJob(const std::string& aJob);

  Http::Response showWorkers() const;
  Http::Response showEndpoints() const;
  Http::Response showCells() const;
  Http::Response showUsage();
  Http::Response drain(const Http::Request& aRequest);
  Http::Response declareLost(const Http::Request& aRequest);
  Http::Response showTrace(const std::string& aTrace);

  const Tables::Route* match(const TablesInForce& aTables, const Http::Request& aRequest) const;
  std::string cellForJob(const TablesInForce& aTables,
                         const Tables::Route& aRoute,
                         const std::string& aKey) const;
  std::optional<Rpc::Generated::CellView> cellOfJob(const std::string& aJob) const;

  Runtime& mRuntime;
  EntryDispatch& mDispatch;
  EntryPools& mPools;
  PeerBook& mPeers;
  CellBook& mCells;
  SpreadService& mSpread;
};

} // namespace Daemon
