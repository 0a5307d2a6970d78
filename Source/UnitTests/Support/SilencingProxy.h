#pragma once

#include <array>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>

#include "Net/Address.h"

namespace TestSupport {

/// Passes connections on to a server of the same event loop, and can let them go silent without
/// closing them.
class SilencingProxy
{
public:
  SilencingProxy(boost::asio::io_context& aIo, const std::string& aServer)
    : mIo(aIo)
    , mServer(*Net::ParseAddress(aServer))
    , mAcceptor(aIo, Net::Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
    acceptNext();
  }

  ~SilencingProxy()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    for (const auto& channel : mChannels) {
      channel->close();
    }
  }
  SilencingProxy(const SilencingProxy&) = delete;
  SilencingProxy& operator=(const SilencingProxy&) = delete;

  std::string address() const { return Net::AddressText(mAcceptor.local_endpoint()); }
  /// Connections since the start.
  std::size_t accepted() const { return mChannels.size(); }

  /// Nothing passes on the open connections any more.
  void silenceOpenConnections()
  {
    for (const auto& channel : mChannels) {
      channel->mIsSilent = true;
    }
  }

  /// New connections come about, but nothing passes on them.
  bool mSilencesNewConnections = false;

private:
  struct Channel : std::enable_shared_from_this<Channel>
  {
    struct Side
    {
      explicit Side(boost::asio::io_context& aIo)
        : mSocket(aIo)
      {
      }
      Net::Tcp::socket mSocket;
      std::array<char, 4096> mBytes{};
    };

    explicit Channel(boost::asio::io_context& aIo)
      : mClient(aIo)
      , mServer(aIo)
    {
    }

    void close()
    {
      boost::system::error_code ignored;
      mClient.mSocket.close(ignored);
      mServer.mSocket.close(ignored);
    }

    void pass(Side& aFrom, Side& aTo)
    {
      aFrom.mSocket.async_read_some(
        boost::asio::buffer(aFrom.mBytes),
        [this, self = shared_from_this(), &aFrom, &aTo](boost::system::error_code aError,
                                                        std::size_t aSize) {
          if (aError) {
            close();
            return;
          }
          if (mIsSilent) {
            pass(aFrom, aTo);
            return;
          }
          boost::asio::async_write(
            aTo.mSocket,
            boost::asio::buffer(aFrom.mBytes, aSize),
            [this, self, &aFrom, &aTo](boost::system::error_code aWriteError, std::size_t) {
              aWriteError ? close() : pass(aFrom, aTo);
            });
        });
    }

    Side mClient;
    Side mServer;
    bool mIsSilent = false;
  };

  void acceptNext()
  {
    const auto channel = std::make_shared<Channel>(mIo);
    mAcceptor.async_accept(channel->mClient.mSocket,
                           [this, channel](boost::system::error_code aError) {
                             if (aError || !mAcceptor.is_open()) {
                               return;
                             }
                             channel->mIsSilent = mSilencesNewConnections;
                             mChannels.push_back(channel);
                             channel->mServer.mSocket.async_connect(
                               mServer, [channel](boost::system::error_code aConnectError) {
                                 if (aConnectError) {
                                   channel->close();
                                   return;
                                 }
                                 channel->pass(channel->mClient, channel->mServer);
                                 channel->pass(channel->mServer, channel->mClient);
                               });
                             acceptNext();
                           });
  }

  boost::asio::io_context& mIo;
  Net::Tcp::endpoint mServer;
  Net::Tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<Channel>> mChannels;
};

} // namespace TestSupport
