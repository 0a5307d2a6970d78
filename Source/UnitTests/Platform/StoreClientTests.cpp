#include <catch2/catch.hpp>

#include <array>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "platform/Json.h"
#include "platform/StoreClient.h"

using namespace std::chrono_literals;

namespace {

/// A store behind a slow link: its answer to the first request arrives in parts, kPartInterval
/// apart.
class SlowStore
{
public:
  static constexpr std::chrono::milliseconds kPartInterval{ 60 };
  static constexpr std::size_t kParts = 6;

  explicit SlowStore(boost::asio::io_context& aIo)
    : mAcceptor(aIo, Net::Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mSocket(aIo)
    , mTimer(aIo)
  {
    mAcceptor.async_accept(mSocket, [this](boost::system::error_code) {
      mSocket.async_read_some(boost::asio::buffer(mRequest),
                              [this](boost::system::error_code, std::size_t) { sendNextPart(); });
    });
  }

  std::string address() const { return Net::AddressText(mAcceptor.local_endpoint()); }

  /// Parts after which the store falls silent.
  std::size_t mPartsUntilSilence = kParts;

private:
  void sendNextPart()
  {
    if (mSentParts == mPartsUntilSilence) {
      return;
    }
    const std::size_t size = mAnswer.size() / kParts;
    const bool isLast = mSentParts + 1 == kParts;
    boost::system::error_code ignored;
    boost::asio::write(
      mSocket,
      boost::asio::buffer(mAnswer.substr(mSentParts * size, isLast ? std::string::npos : size)),
      ignored);
    ++mSentParts;
    mTimer.expires_after(kPartInterval);
    mTimer.async_wait([this](boost::system::error_code) { sendNextPart(); });
  }

  static std::string makeAnswer()
  {
    const Platform::Json item = { { "key", "ibis/job/a/submission" },
                                  { "value", std::string(4'000, 'A') },
                                  { "revision", 7 } };
    const std::string body = Platform::Json{
      { "store_revision", 9 }, { "has_more", false }, { "items", { item } }
    }.dump();
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  const std::string mAnswer = makeAnswer();
  Net::Tcp::acceptor mAcceptor;
  Net::Tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::array<char, 1024> mRequest{};
  std::size_t mSentParts = 0;
};

} // namespace

TEST_CASE("A page of the store that arrives slowly is read", "[Platform]")
{
  // A coordinator on a link of 10 Mbit/s never got a page of 1 MB within 0.9 s, so that it never
  // recovered and nothing was started for 13 s (seen with korouhev-sdileny-grown, trouble-2 --seed
  // 294795233419).
  boost::asio::io_context io;
  SlowStore store(io);
  const auto client = Platform::MakeStoreClient(io, store.address());
  const auto readPage = [&] {
    std::optional<Store::Result<Store::Page>> page;
    client->readPage(
      "ibis/job/", "", 150ms, [&](Store::Result<Store::Page> aPage) { page = std::move(aPage); });
    io.run_for(800ms);
    REQUIRE(page);
    return *page;
  };

  SECTION("although it takes longer than the timeout")
  {
    const auto page = readPage();
    REQUIRE(page);
    REQUIRE(page->mEntries.size() == 1);
    REQUIRE(page->mEntries[0].mValue.size() == 3'000);
  }

  SECTION("but fails if the store falls silent in the middle")
  {
    store.mPartsUntilSilence = 2;
    REQUIRE_FALSE(readPage());
  }
}
