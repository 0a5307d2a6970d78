#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "UnitTests/Platform/Clients/Crowd.h"
#include "UnitTests/Platform/Clients/LimitedProcess.h"
#include "UnitTests/Platform/StoreServer.h"
#include "platform/Json.h"
#include "platform/Soak/StoreFront.h"

using namespace std::chrono_literals;
using namespace ClientTests;
using Platform::Json;

namespace {

/// The largest body of callers.
constexpr std::size_t kBodyBytes = 262'144;
/// The largest body of a worker's announcement.
constexpr std::size_t kAnnouncementBytes = 4 << 20;
/// The largest header of a request; its last field is added to these bytes.
constexpr std::size_t kHeaderBytes = 16'000;
/// Time for a process to start or to answer an ordinary request; no test depends on a shorter one.
constexpr std::chrono::seconds kPatience{ 40 };

struct Listener
{
  Role mRole = Role::Entry;
  std::uint16_t (LimitedProcess::*mPort)() const = nullptr;
  std::string mTarget;
  std::size_t mJsonBytes = kBodyBytes;
};

const Listener kQueue{ Role::Entry, &LimitedProcess::callerPort, "/q/00000000000000aa" };
const Listener kUnknown{ Role::Entry, &LimitedProcess::callerPort, "/elsewhere/1" };
const Listener kReadiness{ Role::Entry, &LimitedProcess::readinessPort, "/-/readyz" };
const Listener kReadinessUnknown{ Role::Entry, &LimitedProcess::readinessPort, "/elsewhere" };
const Listener kEntryMetrics{ Role::Entry, &LimitedProcess::metricsPort, "/metrics" };
const Listener kAnnouncements{ Role::Agent,
                               &LimitedProcess::announcementPort,
                               "/-/Instances.Heartbeat/w2",
                               kAnnouncementBytes };
const Listener kAgentUnknown{ Role::Agent, &LimitedProcess::announcementPort, "/elsewhere" };
const Listener kAgentMetrics{ Role::Agent, &LimitedProcess::metricsPort, "/metrics" };

std::string
TablesText()
{
  const Json tables = { { "version", 1 },
                        { "routes",
                          { { { "name", "q" },
                              { "host", "jobs.example" },
                              { "prefix", "/q/" },
                              { "kind", "unsafe" },
                              { "timeout_ms", 3000 },
                              { "target_duration_ms", 1000 },
                              { "priority", 2 },
                              { "service", "work" },
                              { "max_attempts", 5 },
                              { "stretch_factor", 2.0 } } } },
                        { "services", { { { "name", "work" }, { "enforces_capacity", true } } } },
                        { "limits",
                          { { "max_header_bytes", 16'384 },
                            { "max_body_bytes", kBodyBytes },
                            { "header_timeout_ms", 3'000 },
                            { "idle_timeout_ms", 15'000 } } } };
  return tables.dump();
}

/// A store that grants leases, on a thread of its own.
class LiveStore
{
public:
  LiveStore()
  {
    mFront.store().put("op/config", TablesText());
    mIsListening = mFront.listen().has_value();
    mAddress = mFront.address();
    mThread = std::thread([this] { mIo.run(); });
  }
  ~LiveStore()
  {
    mIo.stop();
    mThread.join();
  }
  LiveStore(const LiveStore&) = delete;
  LiveStore& operator=(const LiveStore&) = delete;

  const std::string& address() const { return mAddress; }
  bool isListening() const { return mIsListening; }

private:
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWorkGuard{
    mIo.get_executor()
  };
  Soak::StoreFront mFront{ mIo };
  bool mIsListening = false;
  std::string mAddress;
  std::thread mThread;
};

std::string
Head(const std::string& aMethod, const std::string& aTarget, const std::string& aFields)
{
  return aMethod + ' ' + aTarget + " HTTP/1.1\r\nHost: jobs.example\r\n" + aFields + "\r\n";
}

std::string
WithLength(const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aBody,
           const std::string& aFields = "")
{
  return Head(
           aMethod, aTarget, aFields + "Content-Length: " + std::to_string(aBody.size()) + "\r\n") +
         aBody;
}

std::string
OrdinaryJob()
{
  return R"({"spec":"s","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":300}]})";
}

std::string
OrdinaryAnnouncement()
{
  const Json body = { { "service", "work" },
                      { "address", "127.0.0.1:1" },
                      { "zone", "z1" },
                      { "state", "ready" },
                      { "capacity", { { "cpu", 16'000 }, { "mem_mb", 64'000 }, { "gpu", 0 } } },
                      { "labels", { "a", "r" } },
                      { "seq", 1 },
                      { "born", 1 } };
  return body.dump();
}

/// Whether the request gets the status within kPatience. A refused one is repeated.
bool
IsAnswered(std::uint16_t aPort, const std::string& aRequest, const std::string& aStatus)
{
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (std::chrono::steady_clock::now() < end) {
    if (Call(aPort, aRequest).starts_with(aStatus)) {
      return true;
    }
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

const char* const kClose = "Connection: close\r\n";

bool
IsMetricsAnswered(const LimitedProcess& aProcess)
{
  return IsAnswered(aProcess.metricsPort(), Head("GET", "/metrics", kClose), "200");
}

bool
IsJobAccepted(const LimitedProcess& aProcess, const std::string& aJob)
{
  return IsAnswered(
    aProcess.callerPort(), WithLength("POST", "/q/" + aJob, OrdinaryJob(), kClose), "200");
}

/// Whether each listener of the process answers an ordinary request.
bool
IsServing(const LimitedProcess& aProcess, Role aRole)
{
  if (!IsMetricsAnswered(aProcess)) {
    return false;
  }
  if (aRole == Role::Agent) {
    return IsAnswered(
      aProcess.announcementPort(),
      WithLength("POST", "/-/Instances.Heartbeat/w1", OrdinaryAnnouncement(), kClose),
      "200");
  }
  return IsAnswered(aProcess.readinessPort(), Head("GET", "/-/readyz", kClose), "200") &&
         IsJobAccepted(aProcess, "00000000000000bb");
}

/// Runs the crowd against the port and checks the bounds that the settings of the process state.
/// The crowd stays connected while ordinary requests are sent.
void
CheckUnderCrowd(LimitedProcess& aProcess,
                Role aRole,
                std::uint16_t aPort,
                const Behaviour& aBehaviour,
                const std::function<void()>& aBeforeCheck = {})
{
  std::size_t descriptors = 0;
  {
    Crowd crowd(aPort, aBehaviour);
    crowd.send([&] { descriptors = std::max(descriptors, aProcess.openDescriptors()); });
    REQUIRE(aProcess.isRunning());
    descriptors = std::max(descriptors, aProcess.openDescriptors());
    if (aBeforeCheck) {
      aBeforeCheck();
    }
    CHECK(IsServing(aProcess, aRole));
    descriptors = std::max(descriptors, aProcess.openDescriptors());
  }
  REQUIRE(aProcess.isRunning());
  CHECK(descriptors <= static_cast<std::size_t>(kMaxDescriptors));
  CHECK(aProcess.peakMemoryKb() <= kMemoryMb * 1024L);
  CHECK(IsServing(aProcess, aRole));
}

void
RunCrowd(const Listener& aListener, const Behaviour& aBehaviour)
{
  LiveStore store;
  REQUIRE(store.isListening());
  LimitedProcess process(aListener.mRole, store.address());
  REQUIRE(IsServing(process, aListener.mRole));
  INFO("kB before the crowd: " << process.peakMemoryKb());
  CheckUnderCrowd(process, aListener.mRole, (process.*aListener.mPort)(), aBehaviour);
}

Behaviour
WholeBodies(const Listener& aListener)
{
  return { .mTexts = { WithLength("POST", aListener.mTarget, std::string(kBodyBytes, 'x')) },
           .mLeftOut = 1 };
}

Behaviour
BodiesInPieces(const Listener& aListener)
{
  Behaviour behaviour = WholeBodies(aListener);
  behaviour.mPieceBytes = 1'400;
  return behaviour;
}

Behaviour
ChunkedBodies(const Listener& aListener)
{
  constexpr std::size_t kChunkBytes = 0x400;
  std::string text = Head("POST", aListener.mTarget, "Transfer-Encoding: chunked\r\n");
  for (std::size_t bytes = 0; bytes < kBodyBytes; bytes += kChunkBytes) {
    text += "400\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
  }
  return { .mTexts = { text + "0\r\n\r\n" }, .mLeftOut = 5 };
}

Behaviour
BodiesOverTheLimit(const Listener& aListener)
{
  const std::string chunk = "400\r\n" + std::string(0x400, 'x') + "\r\n";
  const std::string claim =
    Head("POST", aListener.mTarget, "Content-Length: 1000000000\r\n") + chunk;
  return { .mTexts = { claim,
                       Head("POST", aListener.mTarget, "Transfer-Encoding: chunked\r\n") + chunk },
           .mRepeatedTail = chunk.size() };
}

Behaviour
ManyHeaderFields(const Listener& aListener)
{
  std::string fields;
  while (fields.size() < kHeaderBytes) {
    fields += "a:\r\n";
  }
  return { .mTexts = { Head("POST", aListener.mTarget, fields + "Content-Length: 100\r\n") +
                       std::string(100, 'x') },
           .mLeftOut = 1 };
}

std::string
Repeated(const std::string& aStart,
         const std::string& aPart,
         const std::string& aEnd,
         std::size_t aBytes)
{
  std::string text = aStart;
  while (text.size() + aPart.size() + aEnd.size() <= aBytes) {
    text += aPart;
  }
  return text + aEnd;
}

std::string
ManyNames(std::size_t aBytes)
{
  std::string text = "{\"a\":0";
  for (int number = 0; text.size() + 16 < aBytes; ++number) {
    text += ",\"" + std::to_string(number) + "\":0";
  }
  return text + '}';
}

Behaviour
JsonOfManyFields(const Listener& aListener)
{
  const std::size_t bytes = aListener.mJsonBytes;
  return { .mTexts = { WithLength(
                         "POST", aListener.mTarget, Repeated("{\"steps\":[{}", ",{}", "]}", bytes)),
                       WithLength("POST", aListener.mTarget, ManyNames(bytes)) },
           .mConnections = aListener.mJsonBytes > kBodyBytes ? 20U : 100U };
}

Behaviour
DeepJson(const Listener& aListener)
{
  const std::size_t depth = aListener.mJsonBytes / 2 - 20;
  return {
    .mTexts = { WithLength("POST",
                           aListener.mTarget,
                           "{\"steps\":" + std::string(depth, '[') + std::string(depth, ']') + '}'),
                WithLength(
                  "POST", aListener.mTarget, Repeated("", "{\"a\":", "", aListener.mJsonBytes)) },
    .mConnections = aListener.mJsonBytes > kBodyBytes ? 20U : 100U
  };
}

Behaviour
PipelinedRequests(const Listener& aListener)
{
  const std::string request = Head("GET", aListener.mTarget, "");
  return { .mTexts = { request }, .mRepeatedTail = request.size() };
}

Behaviour
SlowSenders(const Listener& aListener)
{
  Behaviour behaviour = WholeBodies(aListener);
  behaviour.mPieceBytes = 8;
  behaviour.mTurnPause = 20ms;
  return behaviour;
}

Behaviour
SlowReaders(const Listener& aListener)
{
  Behaviour behaviour = PipelinedRequests(aListener);
  behaviour.mReadBytes = 1;
  behaviour.mTurnPause = 5ms;
  return behaviour;
}

Behaviour
StoppedSenders(const Listener& aListener)
{
  const std::string whole = WholeBodies(aListener).mTexts.front();
  const std::string head = Head("POST", aListener.mTarget, std::string("X: ") + kClose);
  return { .mTexts = {
             whole.substr(0, whole.size() / 2), head.substr(0, head.size() / 2), "G", "" } };
}

/// An entry of the store's coordinator: it accepts the connections of other processes.
void
RunLinkCrowd(std::string aText)
{
  LiveStore store;
  REQUIRE(store.isListening());
  LimitedProcess process(Role::Entry, store.address());
  REQUIRE(IsServing(process, Role::Entry));
  const auto end = std::chrono::steady_clock::now() + kPatience;
  std::string metrics;
  while (metrics.find("ibis_coordinator_term{}") == std::string::npos &&
         std::chrono::steady_clock::now() < end) {
    metrics = Call(process.metricsPort(), Head("GET", "/metrics", kClose));
    std::this_thread::sleep_for(20ms);
  }
  REQUIRE(metrics.find("ibis_coordinator_term{}") != std::string::npos);
  CheckUnderCrowd(process,
                  Role::Entry,
                  process.peerPort(),
                  { .mTexts = { std::move(aText) }, .mConnections = 60 });
}

/// Length in front of a message between processes: the largest that is allowed.
std::string
LongestLength()
{
  return { '\x00', '\x80', '\x00', '\x00' };
}

} // namespace

// Each kind of client against each listener guards against a process that runs out of memory or of
// descriptors, or that answers nobody else any more.
#define IBIS_CLIENT_TESTS(listener, text)                                                          \
  TEST_CASE("Whole bodies at " text)                                                               \
  {                                                                                                \
    RunCrowd(listener, WholeBodies(listener));                                                     \
  }                                                                                                \
  TEST_CASE("Bodies in small pieces at " text)                                                     \
  {                                                                                                \
    RunCrowd(listener, BodiesInPieces(listener));                                                  \
  }                                                                                                \
  TEST_CASE("Chunked bodies at " text)                                                             \
  {                                                                                                \
    RunCrowd(listener, ChunkedBodies(listener));                                                   \
  }                                                                                                \
  TEST_CASE("Bodies far over the limit at " text)                                                  \
  {                                                                                                \
    RunCrowd(listener, BodiesOverTheLimit(listener));                                              \
  }                                                                                                \
  TEST_CASE("Many short header fields at " text)                                                   \
  {                                                                                                \
    RunCrowd(listener, ManyHeaderFields(listener));                                                \
  }                                                                                                \
  TEST_CASE("JSON of many short fields at " text)                                                  \
  {                                                                                                \
    RunCrowd(listener, JsonOfManyFields(listener));                                                \
  }                                                                                                \
  TEST_CASE("JSON of deep nesting at " text)                                                       \
  {                                                                                                \
    RunCrowd(listener, DeepJson(listener));                                                        \
  }                                                                                                \
  TEST_CASE("Pipelined requests with unread answers at " text)                                     \
  {                                                                                                \
    RunCrowd(listener, PipelinedRequests(listener));                                               \
  }                                                                                                \
  TEST_CASE("Slow senders at " text)                                                               \
  {                                                                                                \
    RunCrowd(listener, SlowSenders(listener));                                                     \
  }                                                                                                \
  TEST_CASE("Slow readers at " text)                                                               \
  {                                                                                                \
    RunCrowd(listener, SlowReaders(listener));                                                     \
  }                                                                                                \
  TEST_CASE("Senders that stop half-way at " text)                                                 \
  {                                                                                                \
    RunCrowd(listener, StoppedSenders(listener));                                                  \
  }

IBIS_CLIENT_TESTS(kQueue, "a queue's path of callers")
IBIS_CLIENT_TESTS(kUnknown, "an unknown path of callers")
IBIS_CLIENT_TESTS(kReadiness, "the readiness path")
IBIS_CLIENT_TESTS(kReadinessUnknown, "an unknown path of the readiness listener")
IBIS_CLIENT_TESTS(kEntryMetrics, "an entry's metrics")
IBIS_CLIENT_TESTS(kAnnouncements, "an agent's announcements")
IBIS_CLIENT_TESTS(kAgentUnknown, "an unknown path of an agent")
IBIS_CLIENT_TESTS(kAgentMetrics, "an agent's metrics")

TEST_CASE("Submissions with long names while the store is silent")
{
  // Submissions that were read and are not answered held memory without a bound.
  PlatformTests::StoreServer store({ { "op/config", TablesText() } });
  REQUIRE(store.isListening());
  LimitedProcess process(Role::Entry, store.address());
  REQUIRE(IsServing(process, Role::Entry));
  Json job = { { "spec", "s" }, { "steps", Json::array() } };
  for (int i = 0; i < 64; ++i) {
    job["steps"].push_back({ { "count", 1 },
                             { "cpu", 100 },
                             { "mem_mb", 16 },
                             { "estimate_ms", 300 },
                             { "image", std::string(2'400, 'i') } });
  }
  Behaviour behaviour;
  for (int i = 0; i < 50; ++i) {
    behaviour.mTexts.push_back(WithLength("POST",
                                          "/q/" + std::to_string(1'000'000'000'000'000 + i),
                                          job.dump(),
                                          "Ibisshedd-Deadline-Ms: 10000\r\n"));
  }
  store.setAnswerDelay(-1ms);
  CheckUnderCrowd(process, Role::Entry, process.callerPort(), behaviour, [&] {
    std::this_thread::sleep_for(500ms);
    store.setAnswerDelay(0ms);
  });
}

TEST_CASE("Long messages to a coordinator")
{
  RunLinkCrowd(LongestLength() + std::string((8 << 20) - 1, 'x'));
}

TEST_CASE("Messages to a coordinator that only state their length")
{
  RunLinkCrowd(LongestLength() + "x");
}
