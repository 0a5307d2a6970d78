#include "StoreHttp/HttpStore.h"

#include <mutex>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Common/Base64.h"
#include "Common/Text.h"
#include "StoreHttp/Paths.h"

namespace StoreHttp {

using Store::StoreError;

namespace {

using nlohmann::json;

enum class Kind
{
  Read,
  Change,
};

constexpr std::size_t kMaxIdleConnections = 8;

void
SetTimeouts(httplib::Client& aClient, Common::Duration aTimeout)
{
  aClient.set_connection_timeout(aTimeout);
  aClient.set_read_timeout(aTimeout);
  aClient.set_write_timeout(aTimeout);
}

StoreError
FailureOf(const httplib::Result& aResult, Kind aKind)
{
  const bool sent = aResult.error() != httplib::Error::Connection &&
                    aResult.error() != httplib::Error::ConnectionTimeout;
  return sent && aKind == Kind::Change ? StoreError::Unknown : StoreError::Unavailable;
}

StoreError
ErrorOfStatus(int aStatus, Kind aKind)
{
  switch (aStatus) {
    case 404:
    case 409:
      return StoreError::Conflict;
    case 410:
      return StoreError::LeaseLapsed;
    case 413:
      return StoreError::TooLarge;
    case 400:
    case 429:
    case 503:
      return StoreError::Unavailable;
    default:
      return aKind == Kind::Change ? StoreError::Unknown : StoreError::Unavailable;
  }
}

std::optional<Store::Entry>
EntryFrom(const json& aJson)
{
  auto value = Common::DecodeBase64(aJson.at("value").get<std::string>());
  if (!value) {
    return std::nullopt;
  }
  return Store::Entry{ aJson.at("key").get<std::string>(),
                       std::move(*value),
                       Store::Version(aJson.at("version").get<std::int64_t>()) };
}

std::optional<std::vector<Store::Entry>>
EntriesFrom(const json& aJson)
{
  std::vector<Store::Entry> entries;
  for (const json& item : aJson) {
    auto entry = EntryFrom(item);
    if (!entry) {
      return std::nullopt;
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

} // namespace

/// Clients that are kept for the next call, so that calls of several threads run side by side.
class HttpStore::Connections
{
public:
  explicit Connections(HttpStoreOptions aOptions)
    : mOptions(std::move(aOptions))
  {
  }

  /// Runs aCall(client) and returns its answer if the status is 2xx.
  template<typename Call>
  Store::Result<httplib::Response> send(Kind aKind, Common::Duration aExtraTime, Call aCall)
  {
    std::unique_ptr<httplib::Client> client = take();
    SetTimeouts(*client, mOptions.mTimeout + aExtraTime);
    httplib::Result result = aCall(*client);
    if (!result) {
      return tl::unexpected(FailureOf(result, aKind));
    }
    httplib::Response response = std::move(*result);
    put(std::move(client));
    if (response.status < 200 || response.status > 299) {
      return tl::unexpected(ErrorOfStatus(response.status, aKind));
    }
    return response;
  }

  /// As send(), and passes the parsed JSON body to aParse, which returns an optional.
  template<typename Call, typename Parse>
  auto sendJson(Kind aKind, Common::Duration aExtraTime, Call aCall, Parse aParse)
    -> Store::Result<typename decltype(aParse(json()))::value_type>
  {
    const auto response = send(aKind, aExtraTime, aCall);
    if (!response) {
      return tl::unexpected(response.error());
    }
    try {
      if (auto value = aParse(json::parse(response->body))) {
        return std::move(*value);
      }
    } catch (const json::exception&) {
      // The answer is reported like a missing one.
    }
    return tl::unexpected(aKind == Kind::Change ? StoreError::Unknown : StoreError::Unavailable);
  }

private:
  std::unique_ptr<httplib::Client> take()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (!mIdle.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(mIdle.back());
      mIdle.pop_back();
      return client;
    }
    auto client = std::make_unique<httplib::Client>(mOptions.mHost, mOptions.mPort);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    return client;
  }

  void put(std::unique_ptr<httplib::Client> aClient)
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mIdle.size() < kMaxIdleConnections) {
      mIdle.push_back(std::move(aClient));
    }
  }

  HttpStoreOptions mOptions;
  std::mutex mMutex;
  std::vector<std::unique_ptr<httplib::Client>> mIdle;
};

HttpStore::HttpStore(HttpStoreOptions aOptions)
  : mConnections(std::make_unique<Connections>(std::move(aOptions)))
{
}

HttpStore::~HttpStore() = default;

Store::Result<std::optional<Store::Entry>>
HttpStore::read(const std::string& aKey)
{
  const std::string path = KeyPath(aKey);
  auto response = mConnections->send(
    Kind::Read, Common::Duration(0), [&](httplib::Client& aClient) { return aClient.Get(path); });
  if (!response) {
    if (response.error() == StoreError::Conflict) {
      return std::optional<Store::Entry>();
    }
    return tl::unexpected(response.error());
  }
  const auto version = ParseNumber(response->get_header_value(kVersionHeader));
  if (!version) {
    return tl::unexpected(StoreError::Unavailable);
  }
  return std::optional<Store::Entry>(
    Store::Entry{ aKey, std::move(response->body), Store::Version(*version) });
}

Store::Result<std::vector<Store::Entry>>
HttpStore::readPrefix(const std::string& aPrefix, std::size_t aLimit)
{
  const std::string path = std::string(kKeysPath) + "?prefix=" + Common::PercentEncoded(aPrefix) +
                           "&limit=" + std::to_string(aLimit);
  return mConnections->sendJson(
    Kind::Read,
    Common::Duration(0),
    [&](httplib::Client& aClient) { return aClient.Get(path); },
    [](const json& aJson) { return EntriesFrom(aJson.at("entries")); });
}

Store::Result<Store::Version>
HttpStore::compareAndSwap(const std::string& aKey,
                          Store::Version aExpected,
                          const std::string& aValue,
                          std::optional<Store::LeaseId> aLease)
{
  std::string path = KeyPath(aKey) + "?expected=" + std::to_string(aExpected.value());
  if (aLease) {
    path += "&lease=" + std::to_string(aLease->value());
  }
  return mConnections->sendJson(
    Kind::Change,
    Common::Duration(0),
    [&](httplib::Client& aClient) { return aClient.Put(path, aValue, "application/octet-stream"); },
    [](const json& aJson) {
      return std::optional(Store::Version(aJson.at("version").get<std::int64_t>()));
    });
}

Store::Result<void>
HttpStore::erase(const std::string& aKey, Store::Version aExpected)
{
  const std::string path = KeyPath(aKey) + "?expected=" + std::to_string(aExpected.value());
  return mConnections
    ->send(Kind::Change,
           Common::Duration(0),
           [&](httplib::Client& aClient) { return aClient.Delete(path); })
    .map([](const httplib::Response&) {});
}

Store::Result<Store::LeaseId>
HttpStore::grantLease(Common::Duration aTimeToLive)
{
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(aTimeToLive).count();
  const std::string body = json{ { "ttl_ms", millis } }.dump();
  return mConnections->sendJson(
    Kind::Change,
    Common::Duration(0),
    [&](httplib::Client& aClient) { return aClient.Post(kLeasesPath, body, "application/json"); },
    [](const json& aJson) {
      return std::optional(Store::LeaseId(aJson.at("lease").get<std::int64_t>()));
    });
}

Store::Result<void>
HttpStore::renewLease(Store::LeaseId aLease)
{
  const std::string path = LeasePath(aLease) + "/renew";
  return mConnections
    ->send(Kind::Change,
           Common::Duration(0),
           [&](httplib::Client& aClient) { return aClient.Post(path, "{}", "application/json"); })
    .map([](const httplib::Response&) {});
}

Store::Result<void>
HttpStore::revokeLease(Store::LeaseId aLease)
{
  const std::string path = LeasePath(aLease);
  return mConnections
    ->send(Kind::Change,
           Common::Duration(0),
           [&](httplib::Client& aClient) { return aClient.Delete(path); })
    .map([](const httplib::Response&) {});
}

Store::Result<Store::WatchResult>
HttpStore::watch(const std::string& aPrefix, Store::Version aAfter, Common::Duration aTimeout)
{
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout).count();
  const std::string path = std::string(kWatchPath) + "?prefix=" + Common::PercentEncoded(aPrefix) +
                           "&after=" + std::to_string(aAfter.value()) +
                           "&timeout_ms=" + std::to_string(millis);
  return mConnections->sendJson(
    Kind::Read,
    aTimeout,
    [&](httplib::Client& aClient) { return aClient.Get(path); },
    [](const json& aJson) -> std::optional<Store::WatchResult> {
      auto changed = EntriesFrom(aJson.at("changed"));
      if (!changed) {
        return std::nullopt;
      }
      return Store::WatchResult{ std::move(*changed),
                                 aJson.at("erased").get<std::vector<std::string>>(),
                                 Store::Version(aJson.at("up_to").get<std::int64_t>()) };
    });
}

} // namespace StoreHttp
