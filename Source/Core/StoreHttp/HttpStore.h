#pragma once

#include <memory>
#include <string>

#include "Store/StorePort.h"

namespace StoreHttp {

struct HttpStoreOptions
{
  /// Numeric IP address of the store.
  std::string mHost = "127.0.0.1";
  int mPort = 0;
  /// Bound of each call; a watch may take this much longer than its own timeout.
  Common::Duration mTimeout{ std::chrono::seconds(2) };
};

/// The store port over HTTP. A call that changes something and gets no answer after it was sent
/// returns Unknown; a read without an answer returns Unavailable.
class HttpStore final : public Store::StorePort
{
public:
  explicit HttpStore(HttpStoreOptions aOptions);
  ~HttpStore() override;
  HttpStore(const HttpStore&) = delete;
  HttpStore& operator=(const HttpStore&) = delete;

  Store::Result<std::optional<Store::Entry>> read(const std::string& aKey) override;
  Store::Result<std::vector<Store::Entry>> readPrefix(const std::string& aPrefix,
                                                      std::size_t aLimit) override;
  Store::Result<Store::Version> compareAndSwap(
    const std::string& aKey,
    Store::Version aExpected,
    const std::string& aValue,
    std::optional<Store::LeaseId> aLease = std::nullopt) override;
  Store::Result<void> erase(const std::string& aKey, Store::Version aExpected) override;
  Store::Result<Store::LeaseId> grantLease(Common::Duration aTimeToLive) override;
  Store::Result<void> renewLease(Store::LeaseId aLease) override;
  Store::Result<void> revokeLease(Store::LeaseId aLease) override;
  Store::Result<Store::WatchResult> watch(const std::string& aPrefix,
                                          Store::Version aAfter,
                                          Common::Duration aTimeout) override;

private:
  class Connections;

  std::unique_ptr<Connections> mConnections;
};

} // namespace StoreHttp
