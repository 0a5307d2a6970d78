#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Common/Base64.h"
#include "Store/MemoryStore.h"
#include "StoreHttp/HttpStore.h"
#include "StoreHttp/StoreServer.h"

using namespace std::chrono_literals;
using Store::StoreError;
using Store::Version;

namespace {

// A store server on a free loopback port, for the time of one test.
class ServedStore
{
public:
  ServedStore()
  {
    StoreHttp::AddStoreRoutes(mServer, mStore);
    mPort = mServer.bind_to_any_port("127.0.0.1");
    mThread = std::thread([this] { mServer.listen_after_bind(); });
    while (!mServer.is_running()) {
      std::this_thread::sleep_for(1ms);
    }
  }
  ~ServedStore()
  {
    mServer.stop();
    mThread.join();
  }

  Common::SystemClock mClock;
  Store::MemoryStore mStore{ mClock };
  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;
};

} // namespace

TEST_CASE("Base64 gives back the bytes", "[StoreHttp]")
{
  rc::prop("every byte string survives", [](const std::string& aBytes) {
    RC_ASSERT(Common::DecodeBase64(Common::EncodeBase64(aBytes)) == aBytes);
  });
  REQUIRE(Common::EncodeBase64("fooba") == "Zm9vYmE=");
  REQUIRE_FALSE(Common::DecodeBase64("Zm9v=mE="));
}

TEST_CASE("The HTTP store behaves as the store behind it", "[StoreHttp]")
{
  ServedStore served;
  StoreHttp::HttpStore store({ .mPort = served.mPort });
  const std::string key = "cells/dc 1/ä%2F?&x";
  const std::string value("\0\xff\r\n binary", 11);
  const auto first = store.compareAndSwap(key, Version(), value);
  REQUIRE(first);

  SECTION("binary values and keys with reserved letters are kept")
  {
    REQUIRE(served.mStore.read(key).value()->mValue == value);
    const auto read = store.read(key);
    REQUIRE(read.value()->mValue == value);
    REQUIRE(read.value()->mVersion == *first);
    const auto listed = store.readPrefix("cells/dc 1", 5);
    REQUIRE(listed->size() == 1);
    REQUIRE(listed->front().mKey == key);
    REQUIRE(listed->front().mValue == value);
    REQUIRE_FALSE(store.read("cells/none").value());
  }

  SECTION("errors of the store arrive as the same errors")
  {
    REQUIRE(store.compareAndSwap(key, Version(), "x").error() == StoreError::Conflict);
    const std::string large(Store::kMaxValue.value() + 1, 'x');
    REQUIRE(store.compareAndSwap("large", Version(), large).error() == StoreError::TooLarge);
    served.mStore.setFaults({ .mDown = true });
    REQUIRE(store.read(key).error() == StoreError::Unavailable);
    REQUIRE(store.compareAndSwap(key, *first, "x").error() == StoreError::Unavailable);
  }

  SECTION("a lost answer is Unknown although the write took effect")
  {
    served.mStore.setFaults({ .mLoseAnswers = 1 });
    REQUIRE(store.compareAndSwap(key, *first, "second").error() == StoreError::Unknown);
    REQUIRE(store.read(key).value()->mValue == "second");
  }

  SECTION("a write that is slower than the timeout is Unknown, a read Unavailable")
  {
    served.mStore.setFaults({ .mDelay = 1s });
    StoreHttp::HttpStore hasty({ .mPort = served.mPort, .mTimeout = 50ms });
    REQUIRE(hasty.compareAndSwap(key, *first, "x").error() == StoreError::Unknown);
    REQUIRE(hasty.read(key).error() == StoreError::Unavailable);
  }

  SECTION("leases and watches work across the protocol")
  {
    const auto lease = store.grantLease(60s);
    const auto leased = store.compareAndSwap("owner", Version(), "me", *lease);
    REQUIRE(store.renewLease(*lease));
    REQUIRE(store.watch("own", Version(), 0s)->mChanged.size() == 1);
    REQUIRE(store.revokeLease(*lease));
    REQUIRE(store.renewLease(*lease).error() == StoreError::LeaseLapsed);
    REQUIRE(store.watch("own", *leased, 5s)->mErased == std::vector<std::string>{ "owner" });
    REQUIRE(store.erase(key, *first));
    REQUIRE(store.erase(key, *first).error() == StoreError::Conflict);
  }
}

TEST_CASE("A store that is not there is Unavailable", "[StoreHttp]")
{
  int port = 0;
  {
    ServedStore served;
    port = served.mPort;
  }
  StoreHttp::HttpStore store({ .mPort = port, .mTimeout = 200ms });
  REQUIRE(store.compareAndSwap("key", Version(), "x").error() == StoreError::Unavailable);
}
