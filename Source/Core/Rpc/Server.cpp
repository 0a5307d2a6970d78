#include "Rpc/Server.h"

#include <future>
#include <thread>

#include <Control.h>
#include <thrift/TOutput.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include "Rpc/ClientPool.h"

namespace Rpc {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TTransport;

/// Longer than clients keep idle connections, and a bound for peers that stop in mid-frame.
constexpr int kReceiveTimeoutMillis = 60'000;
constexpr int kSendTimeoutMillis = 10'000;

class FramedFactory final : public apache::thrift::transport::TTransportFactory
{
public:
  std::shared_ptr<TTransport> getTransport(std::shared_ptr<TTransport> aSocket) override
  {
    constexpr std::uint32_t kBuffer = 2048;
    constexpr std::uint32_t kKeepBuffer = 64 << 10;
    auto config = std::make_shared<TConfiguration>();
    config->setMaxFrameSize(kMaxFrame);
    return std::make_shared<TFramedTransport>(std::move(aSocket), kBuffer, kKeepBuffer, config);
  }
};

class ListenSignal final : public TServerEventHandler
{
public:
  void preServe() override { mListening.set_value(); }
  std::promise<void> mListening;
};

} // namespace

struct Server::Inner
{
  ServerSettings mSettings;
  std::shared_ptr<Generated::ControlIf> mHandler;
  std::shared_ptr<TServerSocket> mSocket;
  std::unique_ptr<TThreadedServer> mServer;
  std::thread mThread;
};

Server::Server(ServerSettings aSettings, std::shared_ptr<Generated::ControlIf> aHandler)
  : mInner(std::make_unique<Inner>())
{
  mInner->mSettings = std::move(aSettings);
  mInner->mHandler = std::move(aHandler);
}

Server::~Server()
{
  stop();
}

tl::expected<std::uint16_t, std::string>
Server::start()
{
  // Thrift prints each connection that ends in mid-frame; the callers already see those errors.
  apache::thrift::GlobalOutput.setOutputFunction([](const char*) {});
  Inner& inner = *mInner;
  inner.mSocket = std::make_shared<TServerSocket>(inner.mSettings.mAddress, inner.mSettings.mPort);
  inner.mSocket->setRecvTimeout(kReceiveTimeoutMillis);
  inner.mSocket->setSendTimeout(kSendTimeoutMillis);
  inner.mSocket->setKeepAlive(true);
  inner.mServer = std::make_unique<TThreadedServer>(
    std::make_shared<Generated::ControlProcessor>(inner.mHandler),
    inner.mSocket,
    std::make_shared<FramedFactory>(),
    std::make_shared<apache::thrift::protocol::TBinaryProtocolFactory>());
  inner.mServer->setConcurrentClientLimit(inner.mSettings.mMaxConnections);
  auto signal = std::make_shared<ListenSignal>();
  auto listening = signal->mListening.get_future();
  inner.mServer->setServerEventHandler(signal);
  std::promise<std::string> failed;
  auto failure = failed.get_future();
  inner.mThread = std::thread([&server = *inner.mServer, failed = std::move(failed)]() mutable {
    try {
      server.serve();
      failed.set_value("stopped");
    } catch (const std::exception& error) {
      failed.set_value(error.what());
    }
  });
  while (listening.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) {
    if (failure.wait_for(std::chrono::seconds(0)) == std::future_status::ready) {
      inner.mThread.join();
      inner.mServer.reset();
      return tl::unexpected("cannot listen on " + inner.mSettings.mAddress + ':' +
                            std::to_string(inner.mSettings.mPort) + ": " + failure.get());
    }
  }
  return static_cast<std::uint16_t>(inner.mSocket->getPort());
}

void
Server::stop()
{
  if (mInner->mServer && mInner->mThread.joinable()) {
    mInner->mServer->stop();
    mInner->mThread.join();
  }
}

} // namespace Rpc
