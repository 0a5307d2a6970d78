#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

#include "Node/CoordinatorLink.h"
#include "Node/WireConversion.h"
#include "UnitTests/Node/FakeStore.h"
#include "UnitTests/Support/FreeAddress.h"
#include "UnitTests/Support/SilencingProxy.h"

using namespace NodeTests;

TEST_CASE("Entries reach the coordinator again after their links have gone silent", "[Node]")
{
  boost::asio::io_context io;
  Common::SystemClock clock;
  const Settings settings;
  const TimingConstants timing;
  const Formats formats;
  Observability::Counters counters;
  FakeStore store(io);
  Context context{ io, clock, settings, timing, formats, store, counters };
  const auto runUntil = [&io](const std::function<bool()>& aCondition) {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_for(1ms);
    }
    REQUIRE(aCondition());
  };

  const std::string address = TestSupport::FreeAddress(io);
  std::vector<std::shared_ptr<Net::Link>> accepted;
  Net::LinkServer coordinator(
    io, timing.mPeerTimeout, [&](const std::shared_ptr<Net::Link>& aLink) {
      accepted.push_back(aLink);
      aLink->start({ [link = std::weak_ptr(aLink)](const std::string& aBytes) {
                      const auto query = Wire::Decode<Wire::Message>(aBytes);
                      Wire::StatusReply reply;
                      reply.number = query->statusQuery.number;
                      Wire::Message message;
                      message.__set_statusReply(reply);
                      link.lock()->send(Wire::Encode(message));
                    },
                     [] {} });
    });
  REQUIRE(coordinator.listen(address));
  TestSupport::SilencingProxy proxy(io, address);

  const std::size_t count = GENERATE(1U, 24U, 64U);
  std::vector<std::unique_ptr<CoordinatorLink>> entries;
  for (std::size_t i = 0; i < count; ++i) {
    entries.push_back(std::make_unique<CoordinatorLink>(context));
    entries.back()->setAddress(proxy.address());
  }
  for (const auto& entry : entries) {
    runUntil([&] { return entry->isConnected(); });
  }
  proxy.silenceOpenConnections();
  const auto start = std::chrono::steady_clock::now();
  std::vector<bool> isAsked(count);
  std::vector<bool> isReached(count);
  runUntil([&] {
    for (std::size_t i = 0; i < count; ++i) {
      if (isAsked[i] || isReached[i]) {
        continue;
      }
      isAsked[i] = true;
      entries[i]->queryStatus(Common::JobId("00000000000b0001"),
                              {},
                              [&, i](const std::optional<Wire::StatusReply>& aReply) {
                                isAsked[i] = false;
                                isReached[i] = aReply.has_value();
                              });
    }
    return std::count(isReached.begin(), isReached.end(), true) == static_cast<long>(count);
  });
  const auto took = std::chrono::steady_clock::now() - start;
  INFO(count << " links: " << std::chrono::duration_cast<std::chrono::milliseconds>(took).count()
             << " ms");
  CHECK(took < timing.mPeerTimeout + timing.mReconnectDelay + timing.mConnectTimeout);
  entries.clear();
  for (const auto& link : accepted) {
    link->close();
  }
}
