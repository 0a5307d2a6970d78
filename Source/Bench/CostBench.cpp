#include <chrono>
#include <malloc.h>
#include <string>

#include "Admission/Admission.h"
#include "Admission/DeduplicationWindow.h"
#include "Bench/Measure.h"
#include "Common/RequestName.h"
#include "Dispatch/IdempotencyKeys.h"

using namespace std::chrono_literals;

namespace Bench {

namespace {

const Common::Timestamp kStart{ 1h };

Admission::Request
RequestOf(std::uint64_t aNumber, std::uint64_t aClients)
{
  Admission::Request request;
  request.mId = Common::RequestId("r" + std::to_string(aNumber));
  request.mRoute = Common::RouteId("route");
  request.mTeam = Common::TeamId("team" + std::to_string(aNumber % aClients % 10));
  request.mClient = Common::ClientId("client" + std::to_string(aNumber % aClients));
  request.mDeadline = kStart + 100h;
  return request;
}

/// Microseconds of one offer to a gate with a full queue, the start of another request included.
double
OfferMicros(std::uint64_t aClients)
{
  Admission::GateLimits limits;
  limits.mSlots = Common::Slots(8);
  limits.mConnections = Common::Connections(60);
  Admission::Gate gate = Admission::MakeGate(limits, kStart);
  Admission::WorkerLedger worker;
  constexpr std::uint64_t kOffers = 20000;
  const auto begin = std::chrono::steady_clock::now();
  for (std::uint64_t i = 0; i < kOffers; ++i) {
    const Common::Timestamp now = kStart + i * 100us;
    Admission::Offer(gate, worker, RequestOf(i, aClients), now);
    if (i % 10 == 9 && !gate.mRunning.empty()) {
      const Common::RequestId running = gate.mRunning.begin()->first;
      Admission::Release(gate, worker, running, {}, now);
    }
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
  return took.count() / kOffers;
}

double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

double
WindowBytes()
{
  const double before = HeapBytes();
  Admission::DeduplicationWindow window;
  const auto reply = std::string(512, 'x');
  for (std::uint64_t i = 0; i < window.mLimits.mMaxIds + 1000; ++i) {
    const Common::RequestId id = Common::FormatRequestId(
      { Common::InstanceId("entry-of-some-length"), Common::Incarnation(1800000000), i, 1 });
    Admission::BeginRequest(window, id, kStart);
    Admission::FinishRequest(
      window,
      id,
      { Common::Outcome::Ran, Common::Refusal::None, std::make_shared<const std::string>(reply) },
      kStart);
  }
  return HeapBytes() - before;
}

double
RegistryBytes()
{
  const double before = HeapBytes();
  Dispatch::IdempotencyKeyRegistry registry;
  for (std::uint64_t i = 0; i < registry.mLimits.mMaxKeys; ++i) {
    const Common::RequestId id = Common::FormatRequestId(
      { Common::InstanceId("entry-of-some-length"), Common::Incarnation(1800000000), i, 0 });
    const Dispatch::IdempotencyKeyRegistry::ClientKey name(
      Common::ClientId("client-of-some-length"),
      Common::IdempotencyKey("017F22E2-79B0-7CC3-98C4-" + std::to_string(100000000000 + i)));
    const Dispatch::KeyClaim claim{ name.first, name.second, std::nullopt, id, "fingerprint", 10s };
    Dispatch::ClaimKey(registry, claim, { true, 1s }, kStart, 1800000000000ms);
    Dispatch::SettleKey(registry,
                        name,
                        id,
                        Common::Outcome::Ran,
                        std::make_shared<const std::string>(512, 'x'),
                        kStart);
  }
  return HeapBytes() - before;
}

const Registration kCost("admission/f", [] {
  constexpr double kAim = 20e6;
  return Measures{
    { "offer to a full queue, 1000 clients against 1",
      "us",
      OfferMicros(1000),
      OfferMicros(1),
      Bound::Info,
      0 },
    { "full request window against the agent's aim", "B", WindowBytes(), kAim, Bound::AtMost, 0.5 },
    { "full key registry against the agent's aim", "B", RegistryBytes(), kAim, Bound::AtMost, 1 },
  };
});

} // namespace

} // namespace Bench
