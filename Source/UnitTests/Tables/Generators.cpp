#include "Generators.h"

#include "Common/Random.h"

namespace TablesTests {

namespace {

using Common::Random;

// Generators draw from one seeded Random: the tables are small, and shrinking the number of items
// matters more than shrinking each field.

template<typename Item>
Item
Pick(Random& aRandom, const std::vector<Item>& aItems)
{
  return aItems[aRandom.below(aItems.size())];
}

std::int64_t
Number(Random& aRandom, std::int64_t aMin, std::int64_t aMax)
{
  // Ends of the range are where faults are.
  const std::uint64_t kind = aRandom.below(4);
  if (kind == 0) {
    return aMin;
  }
  return kind == 1 ? aMax
                   : aMin + static_cast<std::int64_t>(
                              aRandom.below(static_cast<std::uint64_t>(aMax - aMin) + 1));
}

std::vector<std::string>
Subset(Random& aRandom, const std::vector<std::string>& aItems)
{
  std::vector<std::string> chosen;
  for (const std::string& item : aItems) {
    if (aRandom.below(3) == 0) {
      chosen.push_back(item);
    }
  }
  return chosen;
}

Common::Resources
AnyResources(Random& aRandom, std::int64_t aMax)
{
  return { Common::MilliCores(Number(aRandom, 1, aMax)),
           Common::Bytes(Number(aRandom, 1, aMax) << 20),
           Common::Accelerators(Number(aRandom, 0, 1000)) };
}

const std::vector<std::string> kHosts = { "",          "",           "a.example", "b.a.example",
                                          "*.example", "*.a.example" };
const std::vector<std::string> kPaths = { "", "/a", "/a/b", "/a/b/c", "/ab", "/b" };
const std::vector<std::string> kMethods = { "DELETE", "GET", "POST", "PUT" };
const std::vector<Tables::HeaderMatch> kHeaders = { { "x-a", "1" },
                                                    { "x-a", "2 \"\\ q" },
                                                    { "x-b", "" },
                                                    { "x-c", "#" } };

Tables::RouteMatch
AnyMatch(Random& aRandom)
{
  Tables::RouteMatch match;
  match.mHost = Pick(aRandom, kHosts);
  match.mPathPrefix = Pick(aRandom, kPaths);
  match.mMethods = Subset(aRandom, kMethods);
  for (const Tables::HeaderMatch& header : kHeaders) {
    const bool repeated = !match.mHeaders.empty() && match.mHeaders.back().mName == header.mName;
    if (!repeated && aRandom.below(4) == 0) {
      match.mHeaders.push_back(header);
    }
  }
  return match;
}

Tables::Route
AnyRoute(Random& aRandom, std::size_t aNumber, const std::vector<Tables::Pool>& aPools)
{
  Tables::Route route;
  route.mName = Common::RouteId("r" + std::to_string(aNumber));
  route.mPool = Pick(aRandom, aPools).mName;
  route.mUrgency = static_cast<Tables::Urgency>(aRandom.below(3));
  route.mPrice = Common::MicroPrice(Number(aRandom, 0, 1'000'000'000'000));
  // Most routes are requests, since only they are matched.
  const std::uint64_t kind = aRandom.below(6);
  if (kind > 1) {
    route.mDeadline = std::chrono::milliseconds(Number(aRandom, 1, 600'000));
    route.mMatch = AnyMatch(aRandom);
    route.mIdempotent = aRandom.below(2) == 0;
    route.mHedge = route.mIdempotent && aRandom.below(2) == 0;
    route.mMaxBody = Common::Bytes(Number(aRandom, 0, 15360) * 1024);
    return route;
  }
  route.mKind = kind == 0 ? Tables::RouteKind::Batch : Tables::RouteKind::Watch;
  route.mDeadline = kind == 0 ? std::chrono::milliseconds(Number(aRandom, 1, 2'592'000'000))
                              : std::chrono::milliseconds::zero();
  route.mRestart = static_cast<Tables::RestartPolicy>(aRandom.below(2));
  route.mMaxAttempts = route.mRestart == Tables::RestartPolicy::Never
                         ? 1
                         : static_cast<std::uint32_t>(Number(aRandom, 1, 1000));
  return route;
}

Tables::Pool
AnyPool(Random& aRandom, std::size_t aNumber)
{
  Tables::Pool pool;
  pool.mName = Common::PoolId("p" + std::to_string(aNumber));
  pool.mDataCentres = { Common::DataCentreId("dc1") };
  if (aRandom.below(2) == 0) {
    pool.mDataCentres.emplace_back("dc2");
  }
  pool.mLabels = Subset(aRandom, { "fast", "web", "x.y_z-1" });
  pool.mPerWorker.mSlots = Common::Slots(Number(aRandom, 1, 100'000));
  pool.mPerWorker.mConnections =
    Common::Connections(Number(aRandom, pool.mPerWorker.mSlots.value(), 1'000'000));
  pool.mPerWorker.mResources = AnyResources(aRandom, 10'000'000);
  std::uint32_t left = 100;
  for (int i = 0; i < 3; ++i) {
    const auto percent = static_cast<std::uint32_t>(Number(aRandom, 0, left));
    if (percent > 0) {
      pool.mMinShares.push_back({ static_cast<Tables::Urgency>(i), percent });
      left -= percent;
    }
  }
  return pool;
}

Tables::TableSet
MakeTables(std::uint64_t aSeed, std::size_t aRoutes, std::size_t aOthers)
{
  Random random(aSeed);
  Tables::TableSet tables;
  for (std::size_t i = 0; i <= aOthers; ++i) {
    tables.mPools.push_back(AnyPool(random, i));
    Tables::Team team;
    team.mName = Common::TeamId("t" + std::to_string(i));
    team.mWeight = static_cast<std::uint32_t>(Number(random, 1, 1'000'000));
    team.mMayBorrow = random.below(2) == 0;
    team.mQuota = AnyResources(random, 100'000'000'000);
    team.mSlotQuota = Common::Slots(Number(random, 0, 100'000'000));
    tables.mTeams.push_back(std::move(team));
  }
  for (std::size_t i = 0; i < aOthers; ++i) {
    Tables::Client client;
    client.mName = Common::ClientId("c" + std::to_string(i));
    client.mTeam = Pick(random, tables.mTeams).mName;
    client.mWeight = static_cast<std::uint32_t>(Number(random, 1, 1'000'000));
    client.mHome = Common::DataCentreId(random.below(2) == 0 ? "" : "dc1");
    tables.mClients.push_back(std::move(client));
  }
  for (std::size_t i = 0; i < aRoutes; ++i) {
    tables.mRoutes.push_back(AnyRoute(random, i, tables.mPools));
  }
  return tables;
}

Request
MakeRequest(std::uint64_t aSeed)
{
  Random random(aSeed);
  Request request;
  request.mHost =
    Pick<std::string>(random, { "", "a.example", "b.a.example", "c.a.example", "example" });
  request.mPath = Pick(random, kPaths) + Pick<std::string>(random, { "", "/", "/b", "/a/b", "c" });
  request.mMethod = Pick(random, kMethods);
  for (const Tables::HeaderMatch& header : kHeaders) {
    if (random.below(2) == 0) {
      request.mHeaders.push_back(header);
    }
  }
  return request;
}

const std::vector<std::string> kPieces = { "[[route]]\n",
                                           "[[pool]]\n",
                                           "[[team]]\n",
                                           "[[client]]\n",
                                           "[route.match]\n",
                                           "[",
                                           "]",
                                           "{",
                                           "}",
                                           "\n",
                                           " ",
                                           "=",
                                           ".",
                                           ",",
                                           "#",
                                           "\"",
                                           "'",
                                           "\"\"\"",
                                           "'''",
                                           "\\",
                                           "name = \"a\"\n",
                                           "name",
                                           "pool = \"front\"\n",
                                           "urgency = \"patient\"\n",
                                           "path_prefix",
                                           "per_worker",
                                           "slots",
                                           "-1",
                                           "0",
                                           "9223372036854775807",
                                           "9223372036854775808",
                                           "1e400",
                                           "nan",
                                           "0x",
                                           "true",
                                           "1979-05-27",
                                           "\xc3\xa9",
                                           "\xff",
                                           std::string(1, '\0'),
                                           "\x7f",
                                           "\r\n",
                                           "\xef\xbb\xbf",
                                           "headers = {}\n" };

const std::vector<std::string> kValues = { "-1",          "0",          "1",
                                           "1.5",         "true",       "\"\"",
                                           "\"x\"",       "[]",         "{}",
                                           "[[]]",        "[1]",        "[\"a\", \"a\"]",
                                           "{ a = 1 }",   "1979-05-27", "9223372036854775807",
                                           "\"\\u0000\"", "\"a b\"",    "inf" };

std::string
Mutate(std::string aText, std::uint64_t aSeed, std::size_t aCount)
{
  Random random(aSeed);
  for (std::size_t i = 0; i < aCount && !aText.empty(); ++i) {
    const std::size_t at = random.below(aText.size());
    const std::size_t length = 1 + random.below(20);
    switch (random.below(5)) {
      case 0:
        aText[at] = static_cast<char>(random.below(256));
        break;
      case 1:
        aText.insert(at, Pick(random, kPieces));
        break;
      case 2:
        aText.erase(at, length);
        break;
      case 3:
        aText.insert(random.below(aText.size()), aText.substr(at, 10 * length));
        break;
      default:
        aText.replace(at, length, Pick(random, kPieces));
        break;
    }
  }
  return aText;
}

std::string
ChangeValue(std::string aText, std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<std::size_t> starts;
  for (std::size_t at = aText.find(" = "); at != std::string::npos;
       at = aText.find(" = ", at + 1)) {
    starts.push_back(at + 3);
  }
  const std::size_t start = Pick(random, starts);
  const std::size_t end = aText.find_first_of(",}\n", start);
  return aText.replace(start, end - start, Pick(random, kValues));
}

} // namespace

rc::Gen<Tables::TableSet>
AnyTables()
{
  return rc::gen::map(rc::gen::tuple(rc::gen::arbitrary<std::uint64_t>(),
                                     rc::gen::inRange<std::size_t>(0, 60),
                                     rc::gen::inRange<std::size_t>(0, 4)),
                      [](const std::tuple<std::uint64_t, std::size_t, std::size_t>& aSizes) {
                        const auto& [seed, routes, others] = aSizes;
                        return MakeTables(seed, routes, others);
                      });
}

rc::Gen<Request>
AnyRequest()
{
  return rc::gen::map(rc::gen::arbitrary<std::uint64_t>(), &MakeRequest);
}

rc::Gen<std::string>
TomlPiece()
{
  return rc::gen::elementOf(kPieces);
}

rc::Gen<std::string>
Mutated(const std::string& aText)
{
  return rc::gen::map(
    rc::gen::pair(rc::gen::arbitrary<std::uint64_t>(), rc::gen::inRange<std::size_t>(0, 8)),
    [aText](const std::pair<std::uint64_t, std::size_t>& aChange) {
      return Mutate(aText, aChange.first, aChange.second);
    });
}

rc::Gen<std::string>
OneValueChanged(const std::string& aText)
{
  return rc::gen::map(rc::gen::arbitrary<std::uint64_t>(),
                      [aText](std::uint64_t aSeed) { return ChangeValue(aText, aSeed); });
}

} // namespace TablesTests
