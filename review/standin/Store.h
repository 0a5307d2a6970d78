#pragma once

#include <condition_variable>
#include <deque>

#include <nlohmann/json.hpp>

#include "Http.h"

namespace Review {

/// The platform's store as PROTOCOL.md describes it: transactions, leases, watches.
class Store
{
public:
  Store(int aPort, Record& aRecord);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  void start() { mServer.start(); }
  int port() const { return mServer.port(); }
  HttpServer& server() { return mServer; }
  /// A write of the operator; returns its revision.
  std::int64_t put(const std::string& aKey, const std::string& aText);
  /// Decoded value; "" if the key does not exist.
  std::string text(const std::string& aKey);

private:
  struct Item
  {
    std::string mValue;
    std::int64_t mRevision = 0;
    std::int64_t mCreated = 0;
    std::int64_t mLease = 0;
  };
  struct Lease
  {
    Millis mTimeToLive{ 0 };
    Clock::time_point mEnd;
  };

  std::optional<Reply> handle(const Request& aRequest);
  Reply transact(const nlohmann::json& aBody);
  Reply watch(const Request& aRequest);
  nlohmann::json describe(const std::string& aKey, const Item& aItem) const;
  void putItem(const std::string& aKey, const std::string& aValue, std::int64_t aLease);
  void eraseItem(const std::string& aKey);
  void endLease(std::int64_t aLease);

  Record& mRecord;
  HttpServer mServer;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<std::string, Item> mItems;
  std::deque<std::pair<std::int64_t, nlohmann::json>> mEvents;
  std::map<std::int64_t, Lease> mLeases;
  std::int64_t mRevision = 100;
  std::int64_t mNextLease = 70'000;
  std::atomic<bool> mStopping{ false };
  std::thread mLeaseThread;
};

std::string
EncodeBase64(const std::string& aBytes);
std::string
DecodeBase64(const std::string& aText);

} // namespace Review
