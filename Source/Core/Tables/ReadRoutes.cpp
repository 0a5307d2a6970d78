#include <algorithm>

#include "Common/Text.h"
#include "Tables/Reading.h"

namespace Tables {

namespace {

using Common::Findings;
using Toml::TableReader;
using Toml::Value;

constexpr std::int64_t kMaxRequestDeadlineMs = 600'000;
constexpr std::int64_t kMaxBatchDeadlineMs = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t kMaxPriceMicro = 1'000'000'000'000;
/// A body travels in one frame of at most 16 MB together with its headers.
constexpr std::int64_t kMaxBodyKib = 15LL * 1024;
constexpr std::size_t kMaxHostBytes = 253;
constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::size_t kMaxHeaders = 16;

const std::vector<std::string>&
Methods()
{
  static const std::vector<std::string> kNames = { "GET",    "HEAD",    "POST", "PUT",
                                                   "DELETE", "OPTIONS", "PATCH" };
  return kNames;
}

/// True if aText has only the characters of a header name.
bool
IsToken(const std::string& aText)
{
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [&](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') ||
           kMarks.find(aCharacter) != std::string_view::npos;
  });
}

bool
IsHost(const std::string& aHost)
{
  std::string_view rest = aHost;
  if (rest.starts_with("*.")) {
    rest.remove_prefix(2);
  }
  return !rest.empty() && aHost.size() <= kMaxHostBytes && rest.front() != '.' &&
         rest.back() != '.' && rest.find("..") == std::string_view::npos &&
         std::all_of(rest.begin(), rest.end(), [](char aCharacter) {
           return (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
                  aCharacter == '.' || aCharacter == '_';
         });
}

void
ReadHost(TableReader& aReader, RouteMatch& aMatch)
{
  const std::optional<std::string> host = aReader.text("host");
  if (!host) {
    return;
  }
  aMatch.mHost = Common::LowerCase(*host);
  if (!IsHost(aMatch.mHost)) {
    aReader.error("host",
                  "key \"host\" must be a host name without port, or \"*.\" and a host name");
  }
}

void
ReadPath(TableReader& aReader, RouteMatch& aMatch)
{
  const std::optional<std::string> path = aReader.text("path_prefix");
  if (!path) {
    // A forgotten path would take all requests; "/" does so on purpose.
    aReader.missing("path_prefix");
    return;
  }
  const bool plain = std::all_of(path->begin(), path->end(), [](char aCharacter) {
    return aCharacter > ' ' && aCharacter < 0x7f && aCharacter != '?' && aCharacter != '#';
  });
  if (path->empty() || path->front() != '/' || !plain || path->size() > kMaxPathBytes) {
    aReader.error("path_prefix",
                  "key \"path_prefix\" must start with '/' and have at most " +
                    std::to_string(kMaxPathBytes) +
                    " visible ASCII characters without '?' and '#'");
    return;
  }
  if (path->find("//") != std::string::npos) {
    aReader.error("path_prefix", "key \"path_prefix\" must not have an empty segment");
    return;
  }
  aMatch.mPathPrefix = *path;
  if (aMatch.mPathPrefix.back() == '/') {
    aMatch.mPathPrefix.pop_back();
  }
  const std::string& prefix = aMatch.mPathPrefix;
  if (prefix == "/ibisshed" || prefix.starts_with("/ibisshed/")) {
    aReader.error("path_prefix", "paths under \"/ibisshed\" belong to ibisshed itself");
  }
}

void
ReadMethods(TableReader& aReader, RouteMatch& aMatch)
{
  std::vector<std::string> methods =
    aReader.textList("methods").value_or(std::vector<std::string>{});
  for (const std::string& method : methods) {
    if (std::find(Methods().begin(), Methods().end(), method) == Methods().end()) {
      const std::string nearest = Common::NearestName(method.substr(0, 20), Methods());
      aReader.error("methods",
                    "unknown method " + Toml::Quote(method.substr(0, 20)) +
                      (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
    }
  }
  std::sort(methods.begin(), methods.end());
  if (std::adjacent_find(methods.begin(), methods.end()) != methods.end()) {
    aReader.error("methods", "key \"methods\" names a method twice");
  }
  aMatch.mMethods = std::move(methods);
}

void
ReadHeaders(TableReader& aReader, const std::string& aFile, Findings& aFindings, RouteMatch& aMatch)
{
  const Value* headers = aReader.table("headers");
  if (headers == nullptr) {
    return;
  }
  for (const Toml::Member& member : std::get<Toml::Table>(headers->mData)) {
    const Toml::Position& position = member.mValue.mPosition;
    const auto* value = std::get_if<std::string>(&member.mValue.mData);
    const bool valid =
      value != nullptr && std::all_of(value->begin(), value->end(), [](char aCharacter) {
        return aCharacter >= ' ' && aCharacter < 0x7f;
      });
    if (!IsToken(member.mName) || !valid) {
      aFindings.error({ aFile, position.mLine, position.mColumn },
                      aReader.what() + ": key \"headers\" must map header names to strings of "
                                       "visible ASCII characters");
      continue;
    }
    aMatch.mHeaders.push_back({ Common::LowerCase(member.mName), *value });
  }
  std::sort(aMatch.mHeaders.begin(), aMatch.mHeaders.end());
  const auto sameName = [](const HeaderMatch& aLeft, const HeaderMatch& aRight) {
    return aLeft.mName == aRight.mName;
  };
  const auto& list = aMatch.mHeaders;
  if (std::adjacent_find(list.begin(), list.end(), sameName) != list.end()) {
    aReader.error("headers", "key \"headers\" names a header twice; case does not count");
  }
  if (list.size() > kMaxHeaders) {
    aReader.error("headers", "at most " + std::to_string(kMaxHeaders) + " headers are compared");
  }
}

/// Batch jobs and watches name their route, so that only requests are matched.
void
ReadMatch(TableReader& aReader, const std::string& aFile, Findings& aFindings, Route& aRoute)
{
  if (aRoute.mKind != RouteKind::Request) {
    aReader.refuse("match", "is for kind \"request\" only; jobs name their route");
    return;
  }
  const Value* match = aReader.table("match");
  if (match == nullptr) {
    aReader.missing("match");
    return;
  }
  TableReader reader(*match, aFile, aReader.what() + " match", aFindings);
  ReadHost(reader, aRoute.mMatch);
  ReadPath(reader, aRoute.mMatch);
  ReadMethods(reader, aRoute.mMatch);
  ReadHeaders(reader, aFile, aFindings, aRoute.mMatch);
  reader.finish();
}

void
ReadRequestKeys(TableReader& aReader, Route& aRoute)
{
  if (aRoute.mKind != RouteKind::Request) {
    for (const char* key : { "idempotent", "hedge", "max_body_kib" }) {
      aReader.refuse(key, "is for kind \"request\" only");
    }
    return;
  }
  aRoute.mIdempotent = aReader.boolean("idempotent").value_or(false);
  aRoute.mHedge = aReader.boolean("hedge").value_or(false);
  if (aRoute.mHedge && !aRoute.mIdempotent) {
    aReader.error("hedge", "a hedged request may run twice, so the route must be idempotent");
  }
  if (const auto size = aReader.integer("max_body_kib", { 0, kMaxBodyKib })) {
    aRoute.mMaxBody = Common::Bytes(*size * 1024);
  }
}

void
ReadTaskKeys(TableReader& aReader, Route& aRoute)
{
  if (aRoute.mKind == RouteKind::Request) {
    for (const char* key : { "restart", "max_attempts" }) {
      aReader.refuse(key, "is for kinds \"batch\" and \"watch\" only");
    }
    return;
  }
  if (const auto restart = aReader.choice("restart", RestartPolicyNames())) {
    aRoute.mRestart = static_cast<RestartPolicy>(*restart);
  }
  if (const auto attempts = aReader.integer("max_attempts", { 1, 1000 })) {
    aRoute.mMaxAttempts = static_cast<std::uint32_t>(*attempts);
  }
  if (aRoute.mRestart == RestartPolicy::Never) {
    if (aRoute.mMaxAttempts != 1 && aReader.has("max_attempts")) {
      aReader.error("max_attempts", "a task that is never restarted has one attempt");
    }
    aRoute.mMaxAttempts = 1;
  }
}

void
ReadDeadline(TableReader& aReader, Route& aRoute)
{
  if (aRoute.mKind == RouteKind::Watch) {
    aReader.refuse("deadline_ms", "has no meaning for kind \"watch\", which has no declared end");
    aRoute.mDeadline = Duration::zero();
    return;
  }
  const bool batch = aRoute.mKind == RouteKind::Batch;
  if (batch) {
    aRoute.mDeadline = std::chrono::hours(24);
  }
  const auto deadline =
    aReader.integer("deadline_ms", { 1, batch ? kMaxBatchDeadlineMs : kMaxRequestDeadlineMs });
  if (deadline) {
    aRoute.mDeadline = std::chrono::milliseconds(*deadline);
  }
}

Route
ReadRoute(const Value& aItem, const std::string& aFile, Findings& aFindings)
{
  TableReader reader(aItem, aFile, "route", aFindings);
  Route route;
  route.mPosition = aItem.mPosition;
  route.mName = Common::RouteId(ReadName(reader, "route"));
  if (const auto kind = reader.choice("kind", RouteKindNames())) {
    route.mKind = static_cast<RouteKind>(*kind);
  }
  ReadMatch(reader, aFile, aFindings, route);
  route.mPool = Common::PoolId(reader.text("pool").value_or(""));
  reader.missing("pool");
  const Common::Place poolPlace = reader.place("pool");
  route.mPoolPosition = { poolPlace.mLine, poolPlace.mColumn };
  if (const auto urgency = reader.choice("urgency", UrgencyNames())) {
    route.mUrgency = static_cast<Urgency>(*urgency);
  }
  reader.missing("urgency");
  ReadDeadline(reader, route);
  route.mPrice =
    Common::MicroPrice(reader.integer("price_micro", { 0, kMaxPriceMicro }).value_or(0));
  ReadRequestKeys(reader, route);
  ReadTaskKeys(reader, route);
  reader.finish();
  return route;
}

} // namespace

std::vector<Route>
ReadRoutes(const Value& aRoot, const std::string& aFile, Findings& aFindings)
{
  TableReader reader(aRoot, aFile, "routes table", aFindings);
  std::vector<Route> routes;
  for (const Value* item : reader.tables("route")) {
    routes.push_back(ReadRoute(*item, aFile, aFindings));
  }
  reader.finish();
  return routes;
}

} // namespace Tables
