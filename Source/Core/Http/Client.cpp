#include "Http/Client.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include <httplib.h>

#include "Http/SocketStream.h"

namespace Http {

namespace {

// The deadline of the call ends every wait.
constexpr std::chrono::hours kLongWait{ 1 };

class PooledClient final : public httplib::ClientImpl
{
public:
  using ClientImpl::ClientImpl;
  std::chrono::steady_clock::time_point mDeadline;

  /// Ends the request in progress, or the next one if it has not begun.
  void cancel()
  {
    mCancelled = true;
    stop();
  }

private:
  std::atomic<bool> mCancelled{ false };

  bool process_socket(const Socket& aSocket, std::function<bool(httplib::Stream&)> aUse) override
  {
    // stop() only reaches a request that is counted as in flight, which it is from here on.
    if (mCancelled) {
      return false;
    }
    SocketStream stream(aSocket.sock, { kLongWait, kLongWait, kLongWait });
    stream.setDeadline(mDeadline);
    stream.startMessage();
    return aUse(stream) && stream.flush();
  }
};

struct IdleClient
{
  std::unique_ptr<PooledClient> mClient;
  Common::Timestamp mSince;
};

struct Address
{
  std::vector<IdleClient> mIdle;
  std::size_t mOpen = 0;
};

ClientError
ErrorOf(httplib::Error aError, const std::string& aAddress, bool aTimedOut)
{
  const bool connected =
    aError != httplib::Error::Connection && aError != httplib::Error::ConnectionTimeout;
  return { connected, aTimedOut, "request to " + aAddress + " failed: " + to_string(aError) };
}

bool
ParsePort(const std::string& aText, int& aPort)
{
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aPort);
  return parsed.ec == std::errc{} && parsed.ptr == end && aPort > 0 && aPort < 65536;
}

httplib::Request
RequestFor(const Request& aRequest, std::string& aBody, std::size_t aLimit)
{
  httplib::Request request;
  request.method = aRequest.mMethod;
  request.path = aRequest.mTarget;
  for (const Header& header : aRequest.mHeaders) {
    request.headers.emplace(header.mName, header.mValue);
  }
  request.body = aRequest.mBody;
  request.content_receiver = [&aBody, aLimit](const char* aBytes, std::size_t aLength, auto, auto) {
    aBody.append(aBytes, aLength);
    return aBody.size() <= aLimit;
  };
  return request;
}

} // namespace

struct Client::Inner
{
  ClientSettings mSettings;
  const Common::Clock& mClock;
  std::mutex mMutex;
  std::map<std::string, Address> mAddresses;
  std::set<PooledClient*> mInUse;
  bool mCancelled = false;

  std::unique_ptr<PooledClient> make(const std::string& aAddress) const
  {
    const std::size_t colon = aAddress.rfind(':');
    int port = 0;
    if (colon == std::string::npos || !ParsePort(aAddress.substr(colon + 1), port)) {
      return nullptr;
    }
    auto client = std::make_unique<PooledClient>(aAddress.substr(0, colon), port);
    if (!client->is_valid()) {
      return nullptr;
    }
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_url_encode(false);
    client->set_decompress(false);
    client->set_follow_location(false);
    return client;
  }

  /// Null if the limit is reached or the address is malformed.
  std::unique_ptr<PooledClient> take(const std::string& aAddress)
  {
    const Common::Timestamp now = mClock.now();
    const std::lock_guard<std::mutex> lock(mMutex);
    if (mCancelled) {
      return nullptr;
    }
    Address& address = mAddresses[aAddress];
    while (!address.mIdle.empty()) {
      IdleClient idle = std::move(address.mIdle.back());
      address.mIdle.pop_back();
      if (now - idle.mSince <= mSettings.mMaxIdle) {
        mInUse.insert(idle.mClient.get());
        return std::move(idle.mClient);
      }
      --address.mOpen;
    }
    if (address.mOpen >= mSettings.mMaxPerAddress) {
      return nullptr;
    }
    auto client = make(aAddress);
    if (client) {
      ++address.mOpen;
      mInUse.insert(client.get());
    }
    return client;
  }

  void giveBack(const std::string& aAddress, std::unique_ptr<PooledClient> aClient, bool aUsable)
  {
    const Common::Timestamp now = mClock.now();
    const std::lock_guard<std::mutex> lock(mMutex);
    mInUse.erase(aClient.get());
    Address& address = mAddresses[aAddress];
    if (aUsable) {
      address.mIdle.push_back({ std::move(aClient), now });
    } else {
      --address.mOpen;
    }
  }
};

Client::Client(ClientSettings aSettings, const Common::Clock& aClock)
  : mInner(new Inner{ aSettings, aClock, {}, {}, {}, false })
{
}

Client::~Client() = default;

void
Client::cancel()
{
  const std::lock_guard<std::mutex> lock(mInner->mMutex);
  mInner->mCancelled = true;
  for (PooledClient* client : mInner->mInUse) {
    client->cancel();
  }
}

ClientResult
Client::send(const std::string& aAddress, const Request& aRequest, Common::Duration aTimeout)
{
  const Common::Timestamp end = mInner->mClock.now() + aTimeout;
  if (aTimeout <= Common::Duration::zero()) {
    return tl::unexpected(ClientError{ false, true, "deadline has passed" });
  }
  std::unique_ptr<PooledClient> client = mInner->take(aAddress);
  if (!client) {
    return tl::unexpected(
      ClientError{ false, false, "no connection to " + aAddress + ": limit reached" });
  }
  client->mDeadline = std::chrono::steady_clock::now() + aTimeout;
  client->set_connection_timeout(std::min(aTimeout, mInner->mSettings.mConnectTimeout));
  std::string body;
  httplib::Request request = RequestFor(aRequest, body, mInner->mSettings.mMaxResponse);
  httplib::Response received;
  httplib::Error error = httplib::Error::Success;
  const bool ok = client->send(request, received, error);
  mInner->giveBack(aAddress, std::move(client), ok);
  if (!ok) {
    return tl::unexpected(ErrorOf(error, aAddress, mInner->mClock.now() >= end));
  }
  Response response;
  response.mStatus = received.status;
  response.mBody = std::move(body);
  for (auto& [name, value] : received.headers) {
    response.mHeaders.push_back({ name, value });
  }
  return response;
}

void
Client::prune()
{
  std::vector<IdleClient> closing;
  const Common::Timestamp now = mInner->mClock.now();
  const std::lock_guard<std::mutex> lock(mInner->mMutex);
  for (auto it = mInner->mAddresses.begin(); it != mInner->mAddresses.end();) {
    Address& address = it->second;
    const auto firstOld =
      std::stable_partition(address.mIdle.begin(), address.mIdle.end(), [&](const auto& aIdle) {
        return now - aIdle.mSince <= mInner->mSettings.mMaxIdle;
      });
    address.mOpen -= static_cast<std::size_t>(address.mIdle.end() - firstOld);
    std::move(firstOld, address.mIdle.end(), std::back_inserter(closing));
    address.mIdle.erase(firstOld, address.mIdle.end());
    it = address.mOpen == 0 ? mInner->mAddresses.erase(it) : std::next(it);
  }
}

} // namespace Http
