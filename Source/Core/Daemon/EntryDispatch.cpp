#include "Daemon/EntryDispatch.h"

#include "Common/Hash.h"
#include "Daemon/RequestRun.h"

namespace Daemon {

EntryDispatch::EntryDispatch(Runtime& aRuntime, EntryPools& aPools, CellBook& aCells)
  : mRuntime(aRuntime)
  , mPools(aPools)
  , mCells(aCells)
  , mFollowers(64, 16384)
{
}

EntryDispatch::~EntryDispatch()
{
  stop();
}

void
EntryDispatch::stop()
{
  mFollowers.stop();
}

CallerAnswer
EntryDispatch::run(CallerRequest aRequest)
{
  ++mInProgress;
  const auto run = std::make_shared<RequestRun>(*this, std::move(aRequest), ++mSequence);
  std::optional<CallerAnswer> refused = run->enter();
  CallerAnswer answer;
  if (refused) {
    answer = std::move(*refused);
  } else {
    answer = run->untilAnswered();
    run->leave();
    if (!run->closed()) {
      mFollowers.run([run] { run->untilClosed(); });
    }
  }
  --mInProgress;
  return answer;
}

std::string
EntryDispatch::homeCell(const TablesInForce& aTables, const Common::ClientId& aClient) const
{
  const Tables::Client* client = Tables::FindClient(aTables.mTables, aClient);
  if (client != nullptr && !client->mHome.empty()) {
    return client->mHome.str();
  }
  std::vector<std::string> dataCentres;
  for (const Config::DataCentre& each : mRuntime.mSettings.mDataCentres) {
    dataCentres.push_back(each.mName.str());
  }
  return Common::RendezvousChoice(aClient.str(), dataCentres);
}

} // namespace Daemon
