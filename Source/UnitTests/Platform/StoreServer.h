#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Common/Base64.h"
#include "Net/HttpServer.h"
#include "UnitTests/Support/FreeAddress.h"
#include "platform/Json.h"

namespace PlatformTests {

/// Stand-in for the platform's store that runs on its own thread. It serves reads of a fixed set of
/// entries, two per page. It accepts every transaction without applying it, and grants no leases.
class StoreServer
{
public:
  explicit StoreServer(std::map<std::string, std::string> aEntries)
    : mEntries(std::move(aEntries))
    , mAddress(TestSupport::FreeAddress(mIo))
    , mServer(mIo, {}, [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
      handleRequest(aRequest, aRespond);
    })
  {
    mListening = mServer.listen(mAddress).has_value();
    mThread = std::thread([this] { mIo.run(); });
  }
  ~StoreServer()
  {
    mIo.stop();
    mThread.join();
  }
  StoreServer(const StoreServer&) = delete;
  StoreServer& operator=(const StoreServer&) = delete;

  const std::string& address() const { return mAddress; }
  bool isListening() const { return mListening; }

  /// Delay of each answer to a request that arrives from now on. With a negative one there is no
  /// answer.
  void setAnswerDelay(std::chrono::milliseconds aDelay) { mAnswerDelay = aDelay; }
  /// Bodies of the transactions that arrived.
  std::vector<std::string> transactions() const
  {
    const std::lock_guard lock(mMutex);
    return mTransactions;
  }

private:
  /// Returns the value of a query parameter; empty if there is none.
  static std::string queryField(const std::string& aTarget, const std::string& aName)
  {
    const std::size_t start = aTarget.find(aName + '=');
    if (start == std::string::npos) {
      return {};
    }
    const std::size_t from = start + aName.size() + 1;
    return aTarget.substr(from, aTarget.find('&', from) - from);
  }

  Platform::Json entryToJson(const std::string& aKey) const
  {
    return { { "key", aKey },
             { "value", Common::EncodeBase64(mEntries.at(aKey)) },
             { "revision", 7 },
             { "created", 7 },
             { "lease", 0 } };
  }

  void handleRequest(const Net::HttpRequest& aRequest, const Net::Responder& aRespond)
  {
    std::chrono::milliseconds delay = mAnswerDelay;
    if (aRequest.mTarget == "/-/kv-txn") {
      const std::lock_guard lock(mMutex);
      mTransactions.push_back(aRequest.mBody);
    }
    if (delay.count() < 0) {
      mUnanswered.push_back(aRespond);
      return;
    }
    if (aRequest.mTarget.starts_with("/-/kv-watch")) {
      delay += std::chrono::milliseconds(std::stoll(queryField(aRequest.mTarget, "wait_ms")));
    }
    if (delay.count() == 0) {
      aRespond(answer(aRequest));
      return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(mIo, delay);
    timer->async_wait(
      [this, timer, aRequest, aRespond](boost::system::error_code) { aRespond(answer(aRequest)); });
  }

  Net::HttpResponse answer(const Net::HttpRequest& aRequest) const
  {
    if (aRequest.mTarget.starts_with("/-/kv-lease")) {
      return { 503, "{}", {} };
    }
    if (aRequest.mTarget == "/-/kv-txn") {
      return { 200, Platform::Json{ { "revision", 10 } }.dump(), {} };
    }
    Platform::Json body = { { "store_revision", 9 } };
    if (aRequest.mTarget.starts_with("/-/kv-key")) {
      const std::string key = queryField(aRequest.mTarget, "key");
      if (!mEntries.contains(key)) {
        return { 404, "{}", {} };
      }
      body.update(entryToJson(key));
      return { 200, body.dump(), {} };
    }
    const std::string prefix = queryField(aRequest.mTarget, "prefix");
    body["items"] = Platform::Json::array();
    body["has_more"] = false;
    constexpr std::size_t kPageSize = 2;
    for (auto entry = mEntries.upper_bound(queryField(aRequest.mTarget, "after"));
         entry != mEntries.end();
         ++entry) {
      if (!entry->first.starts_with(prefix)) {
        continue;
      }
      if (body["items"].size() == kPageSize) {
        body["has_more"] = true;
        break;
      }
      body["items"].push_back(entryToJson(entry->first));
    }
    return { 200, body.dump(), {} };
  }

  std::map<std::string, std::string> mEntries;
  std::atomic<std::chrono::milliseconds> mAnswerDelay{ std::chrono::milliseconds(0) };
  mutable std::mutex mMutex;
  std::vector<std::string> mTransactions;
  std::vector<Net::Responder> mUnanswered;
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWorkGuard{
    mIo.get_executor()
  };
  std::string mAddress;
  Net::HttpServer mServer;
  bool mListening = false;
  std::thread mThread;
};

} // namespace PlatformTests
