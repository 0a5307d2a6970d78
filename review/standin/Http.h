#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "Record.h"

namespace Review {

struct Request
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  /// Names in lower case.
  std::map<std::string, std::string> mHeaders;

  std::string path() const { return mTarget.substr(0, mTarget.find('?')); }
  /// Decoded value of a query field; "" if it is absent.
  std::string query(const std::string& aName) const;
};

struct Reply
{
  int mStatus = 200;
  std::string mBody = "{}";
};

/// A small HTTP/1.1 server on 127.0.0.1 with one thread for each connection.
class HttpServer
{
public:
  /// Without a reply the request stays unanswered and its connection open until the peer closes it.
  using Handler = std::function<std::optional<Reply>(const Request&)>;

  HttpServer(int aPort, Handler aHandler)
    : mPort(aPort)
    , mHandler(std::move(aHandler))
  {
  }
  ~HttpServer() { crash(); }
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void start();
  /// Closes the listener and resets all connections, as the end of the process does.
  void crash();
  int port() const { return mPort; }
  /// The connections that are open now stay open and answer nothing any more; new ones work.
  void silenceOpenConnections();
  std::size_t connections();

private:
  void accept(int aListener);
  void serve(int aSocket, std::uint64_t aNumber);

  int mPort;
  Handler mHandler;
  std::mutex mMutex;
  int mListener = -1;
  std::set<int> mSockets;
  std::thread mAcceptThread;
  std::atomic<int> mThreads{ 0 };
  std::atomic<std::uint64_t> mNextNumber{ 1 };
  /// Connections with a lower number are silent.
  std::atomic<std::uint64_t> mFirstSpeaking{ 0 };
};

/// Sends one request and returns the reply, or nothing if none came in time.
std::optional<Reply>
Call(int aPort,
     const std::string& aMethod,
     const std::string& aTarget,
     const std::string& aBody,
     const std::map<std::string, std::string>& aHeaders,
     Millis aTimeout);

/// Returns aCount consecutive ports of 127.0.0.1 that nobody uses.
int
FreePorts(int aCount);

} // namespace Review
