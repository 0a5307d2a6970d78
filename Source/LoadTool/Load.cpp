#include "LoadTool/Load.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

#include <httplib.h>

#include "Common/Hash.h"
#include "LoadTool/Schedule.h"

namespace LoadTool {

namespace {

using Steady = std::chrono::steady_clock;

struct Shared
{
  const LoadConfig& mConfig;
  const std::vector<Common::Duration>& mDue;
  Steady::time_point mStart;
  std::atomic<std::size_t> mNext{ 0 };
  std::mutex mMutex;
  LoadResult mResult;
};

std::string
BodyOf(const LoadConfig& aConfig, std::size_t aIndex)
{
  std::string body = "load-" + std::to_string(aConfig.mSeed) + "-" + std::to_string(aIndex) + ";";
  body.resize(std::max(aConfig.mBodyBytes, body.size()), '.');
  return body;
}

httplib::Headers
HeadersOf(const LoadConfig& aConfig, std::size_t aIndex)
{
  httplib::Headers headers;
  if (!aConfig.mHost.empty()) {
    headers.emplace("Host", aConfig.mHost);
  }
  if (!aConfig.mClient.empty()) {
    headers.emplace("Ibisshed-Client", aConfig.mClient);
  }
  if (aConfig.mDeadlineMillis > 0) {
    headers.emplace("Ibisshed-Deadline-Ms", std::to_string(aConfig.mDeadlineMillis));
  }
  if (aConfig.mKeyed) {
    const Common::SystemClock clock;
    const std::string name = std::to_string(aConfig.mSeed) + "-" + std::to_string(aIndex);
    headers.emplace("Idempotency-Key", "load-" + Common::HashText(Common::HashBytes(name)));
    headers.emplace("Ibisshed-Key-Time", std::to_string(clock.unixNow().count()));
  }
  return headers;
}

std::vector<std::unique_ptr<httplib::Client>>
Connect(const LoadConfig& aConfig)
{
  std::vector<std::unique_ptr<httplib::Client>> clients;
  for (const auto& [address, port] : aConfig.mTargets) {
    auto client = std::make_unique<httplib::Client>(address, port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(aConfig.mTimeout);
    client->set_read_timeout(aConfig.mTimeout);
    client->set_write_timeout(aConfig.mTimeout);
    clients.push_back(std::move(client));
  }
  return clients;
}

std::int64_t
MicrosSince(Steady::time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - aTime).count();
}

void
Record(LoadResult& aResult, const httplib::Result& aAnswer, bool aRightBody, std::int64_t aLatency)
{
  if (!aAnswer) {
    ++aResult.mTransportErrors;
    return;
  }
  ++aResult.mStatuses[aAnswer->status];
  const std::string outcome = aAnswer->get_header_value("Ibisshed-Outcome");
  ++aResult.mOutcomes[outcome.empty() ? "none" : outcome];
  if (aAnswer->status / 100 != 2) {
    return;
  }
  if (!aRightBody) {
    ++aResult.mWrongAnswers;
    return;
  }
  ++aResult.mAnswered;
  aResult.mLatency.record(aLatency);
}

void
Merge(LoadResult& aInto, const LoadResult& aFrom)
{
  aInto.mSent += aFrom.mSent;
  aInto.mAnswered += aFrom.mAnswered;
  aInto.mTransportErrors += aFrom.mTransportErrors;
  aInto.mWrongAnswers += aFrom.mWrongAnswers;
  for (const auto& [outcome, count] : aFrom.mOutcomes) {
    aInto.mOutcomes[outcome] += count;
  }
  for (const auto& [status, count] : aFrom.mStatuses) {
    aInto.mStatuses[status] += count;
  }
  aInto.mLatency.merge(aFrom.mLatency);
  aInto.mSendDelay.merge(aFrom.mSendDelay);
}

httplib::Request
MakeRequest(const LoadConfig& aConfig, std::size_t aIndex)
{
  httplib::Request request;
  request.method = aConfig.mMethod;
  request.path = aConfig.mPath;
  request.headers = HeadersOf(aConfig, aIndex);
  if (aConfig.mMethod != "GET") {
    request.body = BodyOf(aConfig, aIndex);
    request.headers.emplace("Content-Type", "application/octet-stream");
  }
  return request;
}

void
RunConnection(Shared& aShared)
{
  const LoadConfig& config = aShared.mConfig;
  const auto clients = Connect(config);
  LoadResult result;
  for (;;) {
    const std::size_t index = aShared.mNext++;
    if (index >= aShared.mDue.size()) {
      break;
    }
    const Steady::time_point due = aShared.mStart + aShared.mDue[index];
    std::this_thread::sleep_until(due);
    result.mSendDelay.record(MicrosSince(due));
    ++result.mSent;
    const httplib::Request request = MakeRequest(config, index);
    const httplib::Result answer = clients[index % clients.size()]->send(request);
    const bool right =
      !config.mCheckEcho || (answer && answer->body.find(request.body) != std::string::npos);
    Record(result, answer, right, MicrosSince(due));
  }
  const std::lock_guard<std::mutex> lock(aShared.mMutex);
  Merge(aShared.mResult, result);
}

} // namespace

LoadResult
RunLoad(const LoadConfig& aConfig)
{
  Common::Random random(aConfig.mSeed);
  const std::vector<Common::Duration> due =
    MakeSchedule(aConfig.mPerSecond, aConfig.mLength, aConfig.mEven, random);
  Shared shared{ aConfig, due, Steady::now(), {}, {}, {} };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < aConfig.mConnections; ++i) {
    threads.emplace_back([&shared] { RunConnection(shared); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  shared.mResult.mElapsed =
    std::chrono::duration_cast<Common::Duration>(Steady::now() - shared.mStart);
  return shared.mResult;
}

} // namespace LoadTool
