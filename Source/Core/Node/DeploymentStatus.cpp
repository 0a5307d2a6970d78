#include "Node/DeploymentStatus.h"

#include "Node/StoreKeys.h"

namespace Node {

namespace {

/// Runs the event loop until the asynchronous call made by aStart completes.
template<typename Value>
Value
Await(boost::asio::io_context& aIo, const std::function<void(std::function<void(Value)>)>& aStart)
{
  std::optional<Value> value;
  aStart([&](Value aValue) { value = std::move(aValue); });
  aIo.restart();
  while (!value) {
    aIo.run_one();
  }
  return std::move(*value);
}

using ReadResult = Store::Result<std::optional<Store::Entry>>;

class StoreReader
{
public:
  StoreReader(boost::asio::io_context& aIo, Store::AsyncStore& aStore, Common::Duration aTimeout)
    : mIo(aIo)
    , mStore(aStore)
    , mTimeout(aTimeout)
  {
  }

  tl::expected<std::optional<Store::Entry>, std::string> readEntry(const std::string& aKey)
  {
    const auto result =
      Await<ReadResult>(mIo, [&](const auto& aDone) { mStore.read(aKey, mTimeout, aDone); });
    if (!result) {
      return tl::unexpected("the store does not answer a read of \"" + aKey + '"');
    }
    return *result;
  }

  tl::expected<std::vector<Store::Entry>, std::string> readAll(const std::string& aPrefix)
  {
    std::vector<Store::Entry> entries;
    std::string after;
    while (true) {
      auto page = Await<Store::Result<Store::Page>>(
        mIo, [&](const auto& aDone) { mStore.readPage(aPrefix, after, mTimeout, aDone); });
      if (!page) {
        return tl::unexpected("the store does not answer a read of \"" + aPrefix + '"');
      }
      for (Store::Entry& entry : page->mEntries) {
        after = entry.mKey;
        entries.push_back(std::move(entry));
      }
      if (!page->mMore || page->mEntries.empty()) {
        return entries;
      }
    }
  }

private:
  boost::asio::io_context& mIo;
  Store::AsyncStore& mStore;
  Common::Duration mTimeout;
};

/// Decodes the entry's record. Adds its key to the unreadable ones if that fails.
template<typename Record>
std::optional<Record>
DecodeOrMarkUnreadable(const Store::Entry& aEntry, DeploymentStatus& aStatus)
{
  auto record = Wire::Decode<Record>(aEntry.mValue);
  if (!record) {
    aStatus.mUnreadableKeys.push_back(aEntry.mKey);
  }
  return record;
}

tl::expected<Scheduling::EvacuatedDataCentres, std::string>
ReadEvacuations(StoreReader& aReader, const Formats& aFormats)
{
  Scheduling::EvacuatedDataCentres evacuated;
  if (aFormats.mEvacuationPrefix.empty()) {
    return evacuated;
  }
  const auto entries = aReader.readAll(aFormats.mEvacuationPrefix);
  if (!entries) {
    return tl::unexpected(entries.error());
  }
  for (const Store::Entry& entry : *entries) {
    const Common::DataCentreId dataCentre(entry.mKey.substr(aFormats.mEvacuationPrefix.size()));
    if (!dataCentre.empty()) {
      evacuated.insert(dataCentre);
    }
  }
  return evacuated;
}

std::vector<StoredJob>
GroupByJob(const std::vector<Store::Entry>& aJobs,
           const std::vector<Store::Entry>& aProgress,
           DeploymentStatus& aStatus)
{
  std::map<Common::JobId, StoredJob> jobs;
  for (const Store::Entry& entry : aJobs) {
    const auto key = ParseJobKey(entry.mKey);
    if (!key) {
      aStatus.mUnreadableKeys.push_back(entry.mKey);
    } else if (key->mKind == JobKeyKind::Submission) {
      jobs[key->mJob].mSubmission = DecodeOrMarkUnreadable<Wire::JobRecord>(entry, aStatus);
    } else if (key->mKind == JobKeyKind::Cancel) {
      jobs[key->mJob].mCancel = DecodeOrMarkUnreadable<Wire::CancelRecord>(entry, aStatus);
    }
  }
  for (const Store::Entry& entry : aProgress) {
    const Common::JobId job(entry.mKey.substr(kProgressPrefix.size()));
    jobs[job].mProgress = DecodeOrMarkUnreadable<Wire::ProgressRecord>(entry, aStatus);
  }
  std::vector<StoredJob> list;
  for (auto& [id, job] : jobs) {
    job.mJob = id;
    list.push_back(std::move(job));
  }
  return list;
}

} // namespace

tl::expected<DeploymentStatus, std::string>
ReadDeploymentStatus(boost::asio::io_context& aIo,
                     Store::AsyncStore& aStore,
                     const Formats& aFormats,
                     Common::Duration aTimeout)
{
  StoreReader reader(aIo, aStore, aTimeout);
  const auto coordinator = reader.readEntry(kCoordinatorKey);
  const auto term = coordinator ? reader.readEntry(kTermKey) : coordinator;
  const auto tables = term ? reader.readEntry(aFormats.mTablesKey) : term;
  if (!tables) {
    return tl::unexpected(tables.error());
  }
  const auto jobs = reader.readAll(kJobPrefix);
  const auto progress = jobs ? reader.readAll(kProgressPrefix) : jobs;
  const auto workers = progress ? reader.readAll(kWorkerPrefix) : progress;
  if (!workers) {
    return tl::unexpected(workers.error());
  }
  const auto evacuations = ReadEvacuations(reader, aFormats);
  if (!evacuations) {
    return tl::unexpected(evacuations.error());
  }
  DeploymentStatus status;
  if (*coordinator) {
    status.mCoordinator = DecodeOrMarkUnreadable<Wire::CoordinatorRecord>(**coordinator, status);
  }
  if (*term) {
    const auto record = DecodeOrMarkUnreadable<Wire::CoordinatorRecord>(**term, status);
    status.mTerm = record ? record->term : 0;
  }
  if (*tables) {
    auto read = aFormats.mParseTables((*tables)->mValue);
    if (read) {
      status.mTables = std::move(*read);
    } else {
      status.mUnreadableKeys.push_back(aFormats.mTablesKey);
    }
  }
  status.mEvacuated = *evacuations;
  status.mJobs = GroupByJob(*jobs, *progress, status);
  for (const Store::Entry& entry : *workers) {
    if (auto record = DecodeOrMarkUnreadable<Wire::WorkerRecord>(entry, status)) {
      status.mWorkers.push_back(std::move(*record));
    }
  }
  return status;
}

} // namespace Node
