#include <map>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Daemon/EntryApi.h"
#include "Daemon/Pages.h"
#include "Store/Revisions.h"
#include "Tables/DiffTables.h"
#include "Tables/ParseTables.h"

namespace Daemon {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kStoreRetry{ 2 };

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
InfoJson(const Store::RevisionInfo& aInfo)
{
  return { { "revision", aInfo.mRevision.value() },
           { "hash", aInfo.mHash },
           { "author", aInfo.mAuthor },
           { "comment", aInfo.mComment },
           { "unix_ms", aInfo.mUnixMillis } };
}

Http::Response
StoreError(Store::StoreError aError)
{
  const bool unknown = aError == Store::StoreError::Unknown;
  return RetryPage(503,
                   unknown ? "the store did not answer; the edit may be in force or come into force"
                           : "the store is unavailable",
                   kStoreRetry);
}

} // namespace

Http::Response
EntryApi::showTables() const
{
  const auto tables = mRuntime.mTables.current();
  if (!tables) {
    return ErrorPage(503, "no tables are in force yet");
  }
  Json page = { { "revision", tables->mDigest.mRevision.value() },
                { "hash", Common::HashText(tables->mDigest.mHash) },
                { "routes", tables->mRoutesText },
                { "pools", tables->mPoolsText },
                { "author", "" },
                { "comment", "" },
                { "unix_ms", 0 } };
  const auto record = Store::ReadRevision(*mRuntime.mStore, tables->mDigest.mRevision);
  if (record && *record) {
    page.update(InfoJson((*record)->mInfo));
  }
  return Http::JsonResponse(200, Dump(page));
}

Http::Response
EntryApi::showRevision(const std::string& aNumber)
{
  Common::Revision revision;
  try {
    revision = Common::Revision(std::stoll(aNumber));
  } catch (const std::exception&) {
    return ErrorPage(400, "not a revision number: " + aNumber);
  }
  const auto record = Store::ReadRevision(*mRuntime.mStore, revision);
  if (!record) {
    return StoreError(record.error());
  }
  if (!*record) {
    return ErrorPage(404, "revision " + aNumber + " is not stored");
  }
  Json page = InfoJson((*record)->mInfo);
  page["routes"] = (*record)->mTexts.mRoutes;
  page["pools"] = (*record)->mTexts.mPools;
  return Http::JsonResponse(200, Dump(page));
}

Http::Response
EntryApi::showHistory()
{
  const auto current = Store::ReadCurrent(*mRuntime.mStore);
  if (!current) {
    return StoreError(current.error());
  }
  Json revisions = Json::array();
  if (*current) {
    for (auto it = (*current)->mHistory.rbegin(); it != (*current)->mHistory.rend(); ++it) {
      revisions.push_back(InfoJson(*it));
    }
  }
  return Http::JsonResponse(200, Dump({ { "revisions", revisions } }));
}

Http::Response
EntryApi::editTables(const Http::Request& aRequest)
{
  Store::PublishRequest edit;
  try {
    const Json body = Json::parse(aRequest.mBody);
    edit.mBase = Common::Revision(body.at("base").get<std::int64_t>());
    edit.mTexts = { body.at("routes").get<std::string>(), body.at("pools").get<std::string>() };
    edit.mAuthor = body.value("author", "");
    edit.mComment = body.value("comment", "");
  } catch (const Json::exception& error) {
    return ErrorPage(400, error.what());
  }
  Tables::TableNames names;
  for (const Config::DataCentre& each : mRuntime.mSettings.mDataCentres) {
    names.mDataCentres.push_back(each.mName);
  }
  const auto parsed = Tables::ParseTables(edit.mTexts.mRoutes, edit.mTexts.mPools, names);
  if (!parsed) {
    return ErrorPage(422, "the tables have errors", parsed.error());
  }
  edit.mUnixMillis = mRuntime.mClock.unixNow().count();
  edit.mWriterToken = mRuntime.self().str() + '-' + std::to_string(edit.mUnixMillis) + '-' +
                      Common::HashText(mRuntime.random().next());
  const auto published = Store::PublishRevision(*mRuntime.mStore, edit);
  if (published) {
    mSpread.noteStoreRevision(
      published->mRevision.value(), edit.mTexts.mRoutes, edit.mTexts.mPools);
    return Http::JsonResponse(200, Dump({ { "revision", published->mRevision.value() } }));
  }
  if (published.error().mError != Store::StoreError::Conflict) {
    return StoreError(published.error().mError);
  }
  std::string diff;
  const auto base = Store::ReadRevision(*mRuntime.mStore, edit.mBase);
  const auto current = Store::ReadRevision(*mRuntime.mStore, published.error().mCurrent);
  if (base && *base && current && *current) {
    const auto before = Tables::ParseTables((*base)->mTexts.mRoutes, (*base)->mTexts.mPools);
    const auto after = Tables::ParseTables((*current)->mTexts.mRoutes, (*current)->mTexts.mPools);
    if (before && after) {
      diff = Tables::DiffText(Tables::DiffTables(*before, *after));
    }
  }
  return Http::JsonResponse(409,
                            Dump({ { "error", "another revision is current" },
                                   { "current", published.error().mCurrent.value() },
                                   { "diff", diff } }));
}

Http::Response
EntryApi::showStatus() const
{
  std::map<std::string, std::pair<std::string, std::int64_t>> inForce;
  const auto tables = mRuntime.mTables.current();
  const std::int64_t own = tables ? tables->mDigest.mRevision.value() : 0;
  inForce[mRuntime.self().str()] = { std::string(mRuntime.role()), own };
  const Common::Timestamp recent = mRuntime.mClock.now() - std::chrono::seconds(10);
  for (const PeerInfo& peer : mPeers.all()) {
    if (peer.mHeard >= recent && peer.mRole == "entry") {
      inForce[peer.mInstance] = { peer.mRole, peer.mRevision };
    }
  }
  for (const auto& member : mPools.members()) {
    inForce[member.info.instance] = { member.role.empty() ? "agent" : member.role,
                                      member.revision };
  }
  std::int64_t newest = own;
  for (const auto& [name, item] : inForce) {
    newest = std::max(newest, item.second);
  }
  Json instances = Json::array();
  for (const auto& [name, item] : inForce) {
    instances.push_back({ { "instance", name },
                          { "role", item.first },
                          { "revision", item.second },
                          { "late", item.second < newest } });
  }
  return Http::JsonResponse(200, Dump({ { "revision", newest }, { "instances", instances } }));
}

} // namespace Daemon
