#include "Node/Survey.h"

#include "Node/Keys.h"

namespace Node {

namespace {

/// Runs the event loop until the call that aStart makes is answered.
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

using Read = Store::Result<std::optional<Store::Entry>>;

class Reader
{
public:
  Reader(boost::asio::io_context& aIo, Store::AsyncStore& aStore, Common::Duration aTimeout)
    : mIo(aIo)
    , mStore(aStore)
    , mTimeout(aTimeout)
  {
  }

  tl::expected<std::optional<Store::Entry>, std::string> entry(const std::string& aKey)
  {
    const auto result =
      Await<Read>(mIo, [&](const auto& aDone) { mStore.read(aKey, mTimeout, aDone); });
    if (!result) {
      return tl::unexpected("the store does not answer for \"" + aKey + '"');
    }
    return *result;
  }

  tl::expected<std::vector<Store::Entry>, std::string> all(const std::string& aPrefix)
  {
    std::vector<Store::Entry> entries;
    std::string after;
    while (true) {
      auto page = Await<Store::Result<Store::Page>>(
        mIo, [&](const auto& aDone) { mStore.readPage(aPrefix, after, mTimeout, aDone); });
      if (!page) {
        return tl::unexpected("the store does not answer for \"" + aPrefix + '"');
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

/// The record in the entry. What cannot be read is noted by its key.
template<typename Record>
std::optional<Record>
Decoded(const Store::Entry& aEntry, Survey& aSurvey)
{
  auto record = Wire::Decode<Record>(aEntry.mValue);
  if (!record) {
    aSurvey.mUnreadable.push_back(aEntry.mKey);
  }
  return record;
}

std::vector<SurveyedJob>
JobsIn(const std::vector<Store::Entry>& aJobs,
       const std::vector<Store::Entry>& aProgress,
       Survey& aSurvey)
{
  std::map<Common::JobId, SurveyedJob> jobs;
  for (const Store::Entry& entry : aJobs) {
    const auto key = ParseJobKey(entry.mKey);
    if (!key) {
      aSurvey.mUnreadable.push_back(entry.mKey);
    } else if (key->mKind == JobKeyKind::Submission) {
      jobs[key->mJob].mSubmission = Decoded<Wire::JobRecord>(entry, aSurvey);
    } else {
      jobs[key->mJob].mCancel = Decoded<Wire::CancelRecord>(entry, aSurvey);
    }
  }
  for (const Store::Entry& entry : aProgress) {
    const Common::JobId job(entry.mKey.substr(kProgressPrefix.size()));
    jobs[job].mProgress = Decoded<Wire::ProgressRecord>(entry, aSurvey);
  }
  std::vector<SurveyedJob> list;
  for (auto& [id, job] : jobs) {
    job.mJob = id;
    list.push_back(std::move(job));
  }
  return list;
}

} // namespace

tl::expected<Survey, std::string>
ReadSurvey(boost::asio::io_context& aIo,
           Store::AsyncStore& aStore,
           const Formats& aFormats,
           Common::Duration aTimeout)
{
  Reader reader(aIo, aStore, aTimeout);
  const auto coordinator = reader.entry(kCoordinatorKey);
  const auto term = coordinator ? reader.entry(kTermKey) : coordinator;
  const auto tables = term ? reader.entry(aFormats.mTablesKey) : term;
  if (!tables) {
    return tl::unexpected(tables.error());
  }
  const auto jobs = reader.all(kJobPrefix);
  const auto progress = jobs ? reader.all(kProgressPrefix) : jobs;
  const auto workers = progress ? reader.all(kWorkerPrefix) : progress;
  if (!workers) {
    return tl::unexpected(workers.error());
  }
  Survey survey;
  if (*coordinator) {
    survey.mCoordinator = Decoded<Wire::CoordinatorRecord>(**coordinator, survey);
  }
  if (*term) {
    const auto record = Decoded<Wire::CoordinatorRecord>(**term, survey);
    survey.mTerm = record ? record->term : 0;
  }
  if (*tables) {
    auto read = aFormats.mParseTables((*tables)->mValue);
    if (read) {
      survey.mTables = std::move(*read);
    } else {
      survey.mUnreadable.push_back(aFormats.mTablesKey);
    }
  }
  survey.mJobs = JobsIn(*jobs, *progress, survey);
  for (const Store::Entry& entry : *workers) {
    if (auto record = Decoded<Wire::WorkerRecord>(entry, survey)) {
      survey.mWorkers.push_back(std::move(*record));
    }
  }
  return survey;
}

} // namespace Node
