#include "StoreHttp/StoreServer.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Common/Base64.h"
#include "Store/MemoryStore.h"
#include "StoreHttp/Paths.h"

namespace StoreHttp {

using Store::StoreError;

namespace {

using nlohmann::json;

constexpr std::size_t kMaxPrefixLimit = 10000;
constexpr std::int64_t kMaxWatchMillis = 60000;

void
Answer(httplib::Response& aResponse, const json& aBody, int aStatus = 200)
{
  aResponse.status = aStatus;
  aResponse.set_content(aBody.dump(-1, ' ', false, json::error_handler_t::replace),
                        "application/json");
}

// Ends the connection in the middle of the body, so that the client sees no complete answer.
void
LoseAnswer(httplib::Response& aResponse)
{
  aResponse.set_content_provider(
    1024, "application/json", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void
AnswerError(httplib::Response& aResponse, StoreError aError)
{
  switch (aError) {
    case StoreError::Conflict:
      return Answer(aResponse, { { "error", "conflict" } }, 409);
    case StoreError::LeaseLapsed:
      return Answer(aResponse, { { "error", "lease lapsed" } }, 410);
    case StoreError::Unavailable:
      return Answer(aResponse, { { "error", "store unavailable" } }, 503);
    case StoreError::Unknown:
      return LoseAnswer(aResponse);
    case StoreError::TooLarge:
      return Answer(aResponse, { { "error", "value too large" } }, 413);
  }
}

json
ToJson(const std::vector<Store::Entry>& aEntries)
{
  json items = json::array();
  for (const Store::Entry& entry : aEntries) {
    items.push_back({ { "key", entry.mKey },
                      { "value", Common::EncodeBase64(entry.mValue) },
                      { "version", entry.mVersion.value() } });
  }
  return items;
}

std::optional<std::int64_t>
NumberParam(const httplib::Request& aRequest, const std::string& aName)
{
  return ParseNumber(aRequest.get_param_value(aName));
}

void
AddKeyRoutes(httplib::Server& aServer, Store::MemoryStore& aStore)
{
  aServer.Get(kKeysPath, [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
    const auto limit = NumberParam(aRequest, "limit").value_or(kMaxPrefixLimit);
    const auto found =
      aStore.readPrefix(aRequest.get_param_value("prefix"),
                        std::min(static_cast<std::size_t>(limit), kMaxPrefixLimit));
    found ? Answer(aResponse, { { "entries", ToJson(*found) } })
          : AnswerError(aResponse, found.error());
  });
  const std::string keyPattern = std::string(kKeysPath) + "/(.+)";
  aServer.Get(keyPattern,
              [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
                const auto found = aStore.read(aRequest.matches[1]);
                if (!found) {
                  return AnswerError(aResponse, found.error());
                }
                if (!*found) {
                  return Answer(aResponse, { { "error", "no such key" } }, 404);
                }
                aResponse.set_header(kVersionHeader, std::to_string((*found)->mVersion.value()));
                aResponse.set_content((*found)->mValue, "application/octet-stream");
              });
  aServer.Put(
    keyPattern, [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto expected = NumberParam(aRequest, "expected");
      if (!expected) {
        return Answer(aResponse, { { "error", "expected is missing" } }, 400);
      }
      std::optional<Store::LeaseId> lease;
      if (aRequest.has_param("lease")) {
        lease = Store::LeaseId(NumberParam(aRequest, "lease").value_or(0));
      }
      const auto written =
        aStore.compareAndSwap(aRequest.matches[1], Store::Version(*expected), aRequest.body, lease);
      written ? Answer(aResponse, { { "version", written->value() } })
              : AnswerError(aResponse, written.error());
    });
  aServer.Delete(
    keyPattern, [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto expected = NumberParam(aRequest, "expected");
      if (!expected) {
        return Answer(aResponse, { { "error", "expected is missing" } }, 400);
      }
      const auto erased = aStore.erase(aRequest.matches[1], Store::Version(*expected));
      erased ? Answer(aResponse, json::object()) : AnswerError(aResponse, erased.error());
    });
}

void
AddLeaseRoutes(httplib::Server& aServer, Store::MemoryStore& aStore)
{
  aServer.Post(kLeasesPath,
               [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 const json body = json::parse(aRequest.body, nullptr, false);
                 if (!body.is_object() || !body.value("ttl_ms", json()).is_number_unsigned()) {
                   return Answer(aResponse, { { "error", "ttl_ms is missing" } }, 400);
                 }
                 const auto lease =
                   aStore.grantLease(std::chrono::milliseconds(body["ttl_ms"].get<std::int64_t>()));
                 lease ? Answer(aResponse, { { "lease", lease->value() } }, 201)
                       : AnswerError(aResponse, lease.error());
               });
  const std::string pattern = std::string(kLeasesPath) + "/(\\d{1,18})";
  aServer.Post(
    pattern + "/renew", [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto id = ParseNumber(aRequest.matches[1].str());
      const auto renewed = aStore.renewLease(Store::LeaseId(*id));
      renewed ? Answer(aResponse, json::object()) : AnswerError(aResponse, renewed.error());
    });
  aServer.Delete(
    pattern, [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const auto id = ParseNumber(aRequest.matches[1].str());
      const auto revoked = aStore.revokeLease(Store::LeaseId(*id));
      revoked ? Answer(aResponse, json::object()) : AnswerError(aResponse, revoked.error());
    });
}

void
AddWatchRoute(httplib::Server& aServer, Store::MemoryStore& aStore)
{
  aServer.Get(kWatchPath,
              [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
                const auto after = NumberParam(aRequest, "after").value_or(0);
                const auto millis =
                  std::min(NumberParam(aRequest, "timeout_ms").value_or(0), kMaxWatchMillis);
                const auto seen = aStore.watch(aRequest.get_param_value("prefix"),
                                               Store::Version(after),
                                               std::chrono::milliseconds(millis));
                if (!seen) {
                  return AnswerError(aResponse, seen.error());
                }
                Answer(aResponse,
                       { { "changed", ToJson(seen->mChanged) },
                         { "erased", seen->mErased },
                         { "up_to", seen->mUpTo.value() } });
              });
}

json
ToJson(const Store::CallCounts& aCounts)
{
  return { { "reads", aCounts.mReads },
           { "prefix_reads", aCounts.mPrefixReads },
           { "writes", aCounts.mWrites },
           { "erases", aCounts.mErases },
           { "lease_grants", aCounts.mLeaseGrants },
           { "lease_renewals", aCounts.mLeaseRenewals },
           { "lease_revocations", aCounts.mLeaseRevocations },
           { "watches", aCounts.mWatches },
           { "refused", aCounts.mRefused } };
}

// Sets the faults that aBody names and keeps the others.
void
UpdateFaults(Store::Faults& aFaults, const json& aBody)
{
  aFaults.mDown = aBody.value("down", aFaults.mDown);
  if (aBody.contains("delay_ms")) {
    aFaults.mDelay = std::chrono::milliseconds(aBody["delay_ms"].get<std::int64_t>());
  }
  aFaults.mLoseAnswers = aBody.value("lose_answers", aFaults.mLoseAnswers);
  aFaults.mLoseAnswerRate = aBody.value("lose_answer_rate", aFaults.mLoseAnswerRate);
  aFaults.mWatchGaps = aBody.value("watch_gaps", aFaults.mWatchGaps);
}

void
AddAdminRoutes(httplib::Server& aServer, Store::MemoryStore& aStore)
{
  aServer.Get("/v1/admin/counts", [&aStore](const httplib::Request&, httplib::Response& aResponse) {
    Answer(aResponse, ToJson(aStore.counts()));
  });
  aServer.Post("/v1/admin/faults",
               [&aStore](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 try {
                   const json body = json::parse(aRequest.body);
                   Store::Faults faults = aStore.faults();
                   UpdateFaults(faults, body);
                   aStore.setFaults(faults);
                   if (body.value("lapse_leases", false)) {
                     aStore.lapseLeases();
                   }
                   Answer(aResponse, json::object());
                 } catch (const json::exception& problem) {
                   Answer(aResponse, { { "error", problem.what() } }, 400);
                 }
               });
}

} // namespace

void
AddStoreRoutes(httplib::Server& aServer, Store::MemoryStore& aStore)
{
  AddKeyRoutes(aServer, aStore);
  AddLeaseRoutes(aServer, aStore);
  AddWatchRoute(aServer, aStore);
  AddAdminRoutes(aServer, aStore);
}

} // namespace StoreHttp
