#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "Net/Link.h"
#include "UnitTests/Support/FreeAddress.h"

using namespace std::chrono_literals;

namespace {

/// Two links that are connected with each other.
struct ConnectedLinks
{
  ConnectedLinks()
    : mAddress(TestSupport::FreeAddress(mIo))
    , mServer(mIo, 5s, [this](std::shared_ptr<Net::Link> aLink) {
      mReceiver = std::move(aLink);
      mReceiver->start({ [this](std::string aMessage) {
                          mMessages.push_back(std::move(aMessage));
                          mBytes.push_back(mReceiver->receivedBytes());
                        },
                         [this] { mReceiverClosed = true; } });
    })
  {
    REQUIRE(mServer.listen(mAddress));
    Net::Link::connect(mIo, mAddress, 1s, 5s, [this](std::shared_ptr<Net::Link> aLink) {
      mSender = std::move(aLink);
      mSender->start({});
    });
    runUntil([this] { return mSender && mReceiver; });
  }

  ~ConnectedLinks()
  {
    mSender->close();
    mReceiver->close();
  }

  void runUntil(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 5s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mIo.restart();
      mIo.run_for(10ms);
    }
    REQUIRE(aCondition());
  }

  Net::Asio::io_context mIo;
  std::string mAddress;
  Net::LinkServer mServer;
  std::shared_ptr<Net::Link> mSender;
  std::shared_ptr<Net::Link> mReceiver;
  std::vector<std::string> mMessages;
  std::vector<std::size_t> mBytes;
  bool mReceiverClosed = false;
};

/// A frame as the sender of a link writes it.
std::string
CompressedFrame(const std::string& aBody)
{
  const auto size = static_cast<std::uint32_t>(aBody.size()) | 0x80000000U;
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame += static_cast<char>((size >> shift) & 0xffU);
  }
  return frame + aBody;
}

} // namespace

TEST_CASE("A link compresses messages once it is asked to", "[Net]")
{
  ConnectedLinks links;
  std::vector<std::string> sent;
  for (int i = 0; i < 20; ++i) {
    std::string message = std::to_string(i);
    for (int row = 0; row < 30; ++row) {
      message += "5c0e7a21d94b36f8.0." + std::to_string(row * 7919) + ' ';
    }
    sent.push_back(message);
  }
  sent.emplace_back();
  sent.push_back(std::string(100'000, 'x'));

  links.mSender->send(sent.front());
  links.mSender->startCompression();
  for (std::size_t i = 1; i < sent.size(); ++i) {
    links.mSender->send(sent[i]);
  }
  links.runUntil([&] { return links.mMessages.size() == sent.size(); });
  REQUIRE(links.mMessages == sent);
  REQUIRE(links.mBytes.front() == sent.front().size() + 4);
  REQUIRE(links.mBytes[10] < sent[10].size() / 8);
}

TEST_CASE("A link closes when a compressed message cannot be read", "[Net]")
{
  ConnectedLinks links;
  Net::Asio::io_context& io = links.mIo;
  Net::Tcp::socket socket(io);
  links.mReceiver->close();
  links.mReceiver.reset();
  socket.connect(*Net::ParseAddress(links.mAddress));
  links.runUntil([&] { return links.mReceiver != nullptr; });

  SECTION("because its bytes are no compressed message")
  {
    Net::Asio::write(socket, Net::Asio::buffer(CompressedFrame("\xff\xff\xff garbage")));
  }

  SECTION("because it is longer than a message may be")
  {
    Net::MessageCompressor compressor;
    Net::Asio::write(socket,
                     Net::Asio::buffer(CompressedFrame(
                       compressor.compress(std::string(Net::Link::kMaxMessageBytes + 1, 'x')))));
  }
  links.runUntil([&] { return links.mReceiverClosed; });
  REQUIRE(links.mMessages.empty());
}

TEST_CASE("A compressed message of the greatest length is read", "[Net]")
{
  ConnectedLinks links;
  links.mSender->startCompression();
  links.mSender->send(std::string(Net::Link::kMaxMessageBytes, 'x'));
  links.runUntil([&] { return !links.mMessages.empty(); });
  REQUIRE(links.mMessages.front().size() == Net::Link::kMaxMessageBytes);
}
