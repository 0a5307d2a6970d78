#include <algorithm>

#include "Common/Names.h"
#include "Tables/Reading.h"

namespace Tables {

namespace {

using Common::Findings;
using Toml::TableReader;
using Toml::Value;

using Common::kMib;

/// Upper ends of the ranges for the amounts of one worker or of a team.
struct AmountRanges
{
  std::int64_t mMilliCores = 0;
  std::int64_t mMemoryMib = 0;
  std::int64_t mAccelerators = 0;
  std::int64_t mSlots = 0;
};

/// About ten times the largest machines of today.
constexpr AmountRanges kWorkerRanges{ 10'000'000, 100'000'000, 1'000, 100'000 };
/// About a hundred times the fleet of the two-year size.
constexpr AmountRanges kQuotaRanges{ 100'000'000'000, 1'000'000'000'000, 10'000'000, 100'000'000 };
constexpr std::int64_t kMaxConnections = 1'000'000;
constexpr std::int64_t kMaxWeight = 1'000'000;
constexpr std::size_t kMaxListItems = 256;

/// The amount under aKey, 0 if absent. A wrong value counts as 1, so that it does not also make the
/// pool look as if it offered nothing.
std::int64_t
ReadAmount(TableReader& aReader, const std::string& aKey, std::int64_t aMax)
{
  return aReader.integer(aKey, { 0, aMax }).value_or(aReader.has(aKey) ? 1 : 0);
}

Common::Resources
ReadResources(TableReader& aReader, const AmountRanges& aRanges)
{
  return { Common::MilliCores(ReadAmount(aReader, "milli_cores", aRanges.mMilliCores)),
           Common::Bytes(ReadAmount(aReader, "memory_mib", aRanges.mMemoryMib) * kMib),
           Common::Accelerators(ReadAmount(aReader, "accelerators", aRanges.mAccelerators)) };
}

/// Reads an array of distinct names.
std::vector<std::string>
ReadNames(TableReader& aReader, const std::string& aKey)
{
  std::vector<std::string> names = aReader.textList(aKey).value_or(std::vector<std::string>{});
  if (names.size() > kMaxListItems) {
    aReader.error(aKey,
                  "key \"" + aKey + "\" has more than " + std::to_string(kMaxListItems) + " items");
    return {};
  }
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (!Common::IsName(names[i])) {
      aReader.error(aKey,
                    "each item of \"" + aKey +
                      "\" must have 1 to 64 letters, digits, '.', '_' and '-' only");
    } else if (std::find(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(i), names[i]) !=
               names.begin() + static_cast<std::ptrdiff_t>(i)) {
      aReader.error(aKey, "key \"" + aKey + "\" names \"" + names[i] + "\" twice");
    }
  }
  return names;
}

void
ReadPerWorker(TableReader& aReader, const std::string& aFile, Findings& aFindings, Pool& aPool)
{
  const Value* limits = aReader.table("per_worker");
  if (limits == nullptr) {
    aReader.missing("per_worker");
    return;
  }
  TableReader reader(*limits, aFile, aReader.what() + " per_worker", aFindings);
  PoolLimits& perWorker = aPool.mPerWorker;
  perWorker.mSlots = Common::Slots(ReadAmount(reader, "slots", kWorkerRanges.mSlots));
  const auto connections = reader.integer("connections", { 0, kMaxConnections });
  perWorker.mConnections = Common::Connections(connections.value_or(0));
  perWorker.mResources = ReadResources(reader, kWorkerRanges);
  if (perWorker.mConnections.value() < perWorker.mSlots.value() &&
      (connections || !reader.has("connections"))) {
    reader.error("connections", "key \"connections\" must be at least \"slots\"");
  }
  const Common::Resources& resources = perWorker.mResources;
  if ((resources.mCores.value() > 0) != (resources.mMemory.value() > 0)) {
    reader.error("milli_cores",
                 "\"milli_cores\" and \"memory_mib\" must both be given or both be 0");
  }
  reader.finish();
}

void
ReadMinShares(TableReader& aReader, const std::string& aFile, Findings& aFindings, Pool& aPool)
{
  const Value* shares = aReader.table("min_share_percent");
  if (shares == nullptr) {
    return;
  }
  TableReader reader(*shares, aFile, aReader.what() + " min_share_percent", aFindings);
  std::uint32_t sum = 0;
  for (std::size_t i = 0; i < UrgencyNames().size(); ++i) {
    const auto percent = reader.integer(UrgencyNames()[i], { 0, 100 });
    if (percent && *percent > 0) {
      aPool.mMinShares.push_back({ static_cast<Urgency>(i), static_cast<std::uint32_t>(*percent) });
      sum += static_cast<std::uint32_t>(*percent);
    }
  }
  if (sum > 100) {
    aReader.error("min_share_percent",
                  "the shares add up to " + std::to_string(sum) +
                    "%; at most 100% can be promised");
  }
  reader.finish();
}

Pool
ReadPool(const Value& aItem, const std::string& aFile, Findings& aFindings)
{
  TableReader reader(aItem, aFile, "pool", aFindings);
  Pool pool;
  pool.mPosition = aItem.mPosition;
  pool.mName = Common::PoolId(ReadName(reader, "pool"));
  for (const std::string& name : ReadNames(reader, "data_centres")) {
    pool.mDataCentres.emplace_back(name);
  }
  if (pool.mDataCentres.empty() && reader.has("data_centres")) {
    reader.error("data_centres", "key \"data_centres\" must name at least one data centre");
  }
  reader.missing("data_centres");
  const Common::Place place = reader.place("data_centres");
  pool.mDataCentresPosition = { place.mLine, place.mColumn };
  pool.mLabels = ReadNames(reader, "labels");
  ReadPerWorker(reader, aFile, aFindings, pool);
  ReadMinShares(reader, aFile, aFindings, pool);
  reader.finish();
  return pool;
}

Team
ReadTeam(const Value& aItem, const std::string& aFile, Findings& aFindings)
{
  TableReader reader(aItem, aFile, "team", aFindings);
  Team team;
  team.mPosition = aItem.mPosition;
  team.mName = Common::TeamId(ReadName(reader, "team"));
  team.mWeight =
    static_cast<std::uint32_t>(reader.integer("weight", { 1, kMaxWeight }).value_or(1));
  team.mMayBorrow = reader.boolean("may_borrow").value_or(true);
  if (const Value* quota = reader.table("quota")) {
    TableReader quotaReader(*quota, aFile, reader.what() + " quota", aFindings);
    team.mQuota = ReadResources(quotaReader, kQuotaRanges);
    team.mSlotQuota = Common::Slots(ReadAmount(quotaReader, "slots", kQuotaRanges.mSlots));
    quotaReader.finish();
  }
  reader.finish();
  return team;
}

Client
ReadClient(const Value& aItem, const std::string& aFile, Findings& aFindings)
{
  TableReader reader(aItem, aFile, "client", aFindings);
  Client client;
  client.mPosition = aItem.mPosition;
  client.mName = Common::ClientId(ReadName(reader, "client"));
  client.mTeam = Common::TeamId(reader.text("team").value_or(""));
  reader.missing("team");
  const Common::Place teamPlace = reader.place("team");
  client.mTeamPosition = { teamPlace.mLine, teamPlace.mColumn };
  client.mWeight =
    static_cast<std::uint32_t>(reader.integer("weight", { 1, kMaxWeight }).value_or(1));
  client.mHome = Common::DataCentreId(reader.text("home").value_or(""));
  const Common::Place homePlace = reader.place("home");
  client.mHomePosition = { homePlace.mLine, homePlace.mColumn };
  reader.finish();
  return client;
}

} // namespace

void
ReadPools(const Value& aRoot, const std::string& aFile, TableSet& aTables, Findings& aFindings)
{
  TableReader reader(aRoot, aFile, "pools table", aFindings);
  for (const Value* item : reader.tables("pool")) {
    aTables.mPools.push_back(ReadPool(*item, aFile, aFindings));
  }
  for (const Value* item : reader.tables("team")) {
    aTables.mTeams.push_back(ReadTeam(*item, aFile, aFindings));
  }
  for (const Value* item : reader.tables("client")) {
    aTables.mClients.push_back(ReadClient(*item, aFile, aFindings));
  }
  reader.finish();
}

} // namespace Tables
