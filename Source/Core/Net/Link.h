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
#include "Net/ReceiveBudget.h"

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

  /// What the link receives counts against the budget, unless it is null. A link whose message
  /// does not fit fails.
  static std::shared_ptr<Link> adopt(Tcp::socket aSocket,
                                     Common::Duration aSilence,
                                     std::shared_ptr<ReceiveBudget> aBudget = nullptr);
  /// aConnected is called with a link, or with nullptr if none came about within aTimeout.
  static void connect(Asio::io_context& aContext,
                      const std::string& aAddress,
                      Common::Duration aTimeout,
                      Common::Duration aSilence,
                      std::function<void(std::shared_ptr<Link>)> aConnected);

  Link(Tcp::socket aSocket, Common::Duration aSilence, std::shared_ptr<ReceiveBudget> aBudget);
  /// Starts reading; to be called once.
  void start(Events aEvents);
  /// Queues the message. A peer that does not read is dropped once kMaxQueuedBytes wait for it.
  void send(const std::string& aMessage);
  /// Compresses the messages that are sent from now on. The peer must be of a version that reads
  /// them.
  void startCompression();
  /// Bytes that the message being handled took on the connection.
  std::size_t receivedBytes() const { return mReceivedBytes; }
  /// Whether the peer has sent a whole message.
  bool hasReceived() const { return mHasReceived; }
  bool isOpen() const { return mOpen; }
  /// Closes without calling mClosed.
  void close();
  /// Closes as if the connection had been lost.
  void fail();

  static constexpr std::size_t kMaxQueuedBytes = 16 << 20;
  static constexpr std::uint32_t kMaxMessageBytes = 8 << 20;

private:
  void readLength();
  /// Reads the body in parts, so that a length that is only stated takes no memory.
  void readBody();
  void takeBody();
  /// False if the bytes do not fit into the budget.
  bool reserve(std::size_t aBytes);
  /// Replaces the compressed message in mBody. Returns false if it cannot be decompressed.
  bool decompressBody();
  void writeNext();
  void touch();

  Tcp::socket mSocket;
  Asio::steady_timer mTimer;
  Common::Duration mSilence;
  Events mEvents;
  std::deque<std::string> mQueue;
  std::size_t mQueuedBytes = 0;
  std::array<unsigned char, 4> mLength{};
  std::string mBody;
  std::size_t mBodyBytes = 0;
  std::size_t mBodyRead = 0;
  bool mHasReceived = false;
  /// Null if there is no budget.
  std::unique_ptr<ReceiveBudget::Share> mShare;
  bool mBodyIsCompressed = false;
  std::size_t mReceivedBytes = 0;
  /// Null until a message is compressed.
  std::unique_ptr<MessageCompressor> mCompressor;
  std::unique_ptr<MessageDecompressor> mDecompressor;
  bool mOpen = true;
};

/// What a LinkServer shares with the process that it is part of.
struct LinkSharing
{
  /// No budget if null.
  std::shared_ptr<ReceiveBudget> mBudget;
  std::size_t mLinks = 4'096;
  /// Size of the receive and of the send buffer that the system keeps for a link; it chooses them
  /// itself if 0.
  int mKernelBufferBytes = 0;
  /// Called for each connection that is closed because there are too many.
  std::function<void()> mOnRefusal;
};

/// Accepts links. If there are too many, the oldest one that has sent no message is closed in
/// favour of the new one; the new one is closed if there is none.
class LinkServer
{
public:
  LinkServer(Asio::io_context& aContext,
             Common::Duration aSilence,
             std::function<void(std::shared_ptr<Link>)> aAccepted,
             LinkSharing aSharing = {});
  ~LinkServer();
  LinkServer(const LinkServer&) = delete;
  LinkServer& operator=(const LinkServer&) = delete;

  tl::expected<void, std::string> listen(const std::string& aAddress);
  Tcp::endpoint address() const;
  std::size_t links() const;

private:
  struct Core;
  static void acceptNext(const std::shared_ptr<Core>& aCore);
  static void admit(Tcp::socket aSocket, Core& aCore);
  std::shared_ptr<Core> mCore;
};

} // namespace Net
