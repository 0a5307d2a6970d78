#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Net/Address.h"
#include "Net/MessageStream.h"

namespace Net {

/// A connection between two ibisshedd processes that carries whole messages, each with its length
/// in front, whose highest bit says that the message is compressed. It is closed if nothing arrives
/// for the silence limit, so both sides send regularly.
class Link : public std::enable_shared_from_this<Link>
{
public:
  struct Events
  {
    std::function<void(std::string)> mMessage;
    /// Called once, after which the link is of no use.
    std::function<void()> mClosed;
  };

  static std::shared_ptr<Link> adopt(Tcp::socket aSocket, Common::Duration aSilence);
  /// aConnected is called with a link, or with nullptr if none came about within aTimeout.
  static void connect(Asio::io_context& aContext,
                      const std::string& aAddress,
                      Common::Duration aTimeout,
                      Common::Duration aSilence,
                      std::function<void(std::shared_ptr<Link>)> aConnected);

  explicit Link(Tcp::socket aSocket, Common::Duration aSilence);
  /// Starts reading; to be called once.
  void start(Events aEvents);
  /// Queues the message. A peer that does not read is dropped once kMaxQueuedBytes wait for it.
  void send(const std::string& aMessage);
  /// Compresses the messages that are sent from now on. The peer must be of a version that reads
  /// them.
  void startCompression();
  /// Bytes that the message being handled took on the connection.
  std::size_t receivedBytes() const { return mReceivedBytes; }
  /// Closes without calling mClosed.
  void close();

  static constexpr std::size_t kMaxQueuedBytes = 16 << 20;
  static constexpr std::uint32_t kMaxMessageBytes = 8 << 20;

private:
  void readLength();
  void readBody();
  /// Replaces the compressed message in mBody. Returns false if it cannot be decompressed.
  bool decompressBody();
  void writeNext();
  void fail();
  void touch();

  Tcp::socket mSocket;
  Asio::steady_timer mTimer;
  Common::Duration mSilence;
  Events mEvents;
  std::deque<std::string> mQueue;
  std::size_t mQueuedBytes = 0;
  std::array<unsigned char, 4> mLength{};
  std::string mBody;
  bool mBodyIsCompressed = false;
  std::size_t mReceivedBytes = 0;
  /// Null until a message is compressed.
  std::unique_ptr<MessageCompressor> mCompressor;
  std::unique_ptr<MessageDecompressor> mDecompressor;
  bool mOpen = true;
};

/// Accepts links.
class LinkServer
{
public:
  LinkServer(Asio::io_context& aContext,
             Common::Duration aSilence,
             std::function<void(std::shared_ptr<Link>)> aAccepted);
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  tl::expected<void, std::string> listen(const std::string& aAddress);
  Tcp::endpoint address() const;

private:
  struct Core;
  static void acceptNext(const std::shared_ptr<Core>& aCore);
  std::shared_ptr<Core> mCore;
};

} // namespace Net
