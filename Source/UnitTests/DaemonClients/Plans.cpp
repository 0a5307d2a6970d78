#include "UnitTests/DaemonClients/Survival.h"

namespace DaemonClients {

namespace {

using namespace std::chrono_literals;

// Above the connections that the settings allow.
constexpr std::size_t kCrowd = 300;
// The tree of one such body took 100 MB and more before there were bounds; many at once would take
// the test machine's memory.
constexpr std::size_t kJsonCrowd = 16;
// The header section that a request may have, less the fields that each request has.
constexpr std::size_t kHeaderBytes = 60'000;
// cpp-httplib takes start lines up to 8,192 bytes.
constexpr std::size_t kTargetBytes = 8'000;
constexpr std::size_t kPipelined = 2'000;

std::string
Repeated(const std::string& aText, std::size_t aCount)
{
  std::string text;
  text.reserve(aText.size() * aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    text += aText;
  }
  return text;
}

std::string
StartOf(Listener aListener, const std::string& aMethod, const std::string& aQuery = {})
{
  const std::string path = [&] {
    switch (aListener) {
      case Listener::Callers:
        return "/urgent";
      case Listener::UnknownPath:
        return "/nowhere";
      case Listener::Operators:
        return aMethod == "GET" ? "/ibisshed/v1/metrics" : "/ibisshed/v1/jobs";
      case Listener::Agent:
        return aMethod == "GET" ? "/ibisshed/v1/metrics" : "/ibisshed/v1/announce";
    }
    return "/";
  }();
  return aMethod + ' ' + path + aQuery + " HTTP/1.1\r\nHost: test\r\nIbisshed-Client: shop\r\n";
}

std::string
WithoutEnd(std::string aText, std::size_t aLess)
{
  aText.resize(aText.size() - aLess);
  return aText;
}

Plan
Sending(std::string aBytes, bool aExpectsAnswer = true)
{
  Plan plan;
  plan.mConnections = kCrowd;
  plan.mBytes = std::move(aBytes);
  plan.mExpectsAnswer = aExpectsAnswer;
  return plan;
}

Plan
EditingTables(const std::string& aRoutes)
{
  const std::string body = R"({"base":0,"pools":"","routes":")" + aRoutes + "\"}";
  Plan plan = Sending("POST /ibisshed/v1/tables HTTP/1.1\r\nHost: test\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  plan.mConnections = kJsonCrowd;
  return plan;
}

} // namespace

std::size_t
BodyLimit(Listener aListener)
{
  switch (aListener) {
    case Listener::Callers:
    case Listener::UnknownPath:
      return std::size_t(1) << 20;
    case Listener::Operators:
      return std::size_t(4) << 20;
    case Listener::Agent:
      return std::size_t(64) << 10;
  }
  return 0;
}

std::string
LegalBody(Listener aListener)
{
  return std::string(BodyLimit(aListener), 'x');
}

std::string
RequestWithBody(Listener aListener, const std::string& aBody)
{
  return StartOf(aListener, "POST") + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

std::string
ChunkedRequest(Listener aListener, const std::string& aBody, std::size_t aChunk)
{
  static const char* const kDigits = "0123456789abcdef";
  std::string text = StartOf(aListener, "POST") + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < aBody.size(); at += aChunk) {
    const std::size_t size = std::min(aChunk, aBody.size() - at);
    std::string hex;
    for (std::size_t rest = size; rest > 0; rest /= 16) {
      hex.insert(hex.begin(), kDigits[rest % 16]);
    }
    text += hex + "\r\n" + aBody.substr(at, size) + "\r\n";
  }
  return text + "0\r\n\r\n";
}

std::string
SmallRequest(Listener aListener)
{
  return aListener == Listener::Callers ? StartOf(aListener, "POST") + "Content-Length: 2\r\n\r\nhi"
                                        : StartOf(aListener, "GET") + "\r\n";
}

Plan
WholeBodies(Listener aListener)
{
  return Sending(RequestWithBody(aListener, LegalBody(aListener)));
}

Plan
BodiesInPieces(Listener aListener)
{
  Plan plan = WholeBodies(aListener);
  // All are sent within about 3 s.
  plan.mPiece = BodyLimit(aListener) / 256;
  plan.mPause = 10ms;
  return plan;
}

Plan
ChunkedBodies(Listener aListener)
{
  return Sending(ChunkedRequest(aListener, LegalBody(aListener), 1'000));
}

Plan
AlmostWholeBodies(Listener aListener)
{
  return Sending(WithoutEnd(RequestWithBody(aListener, LegalBody(aListener)), 10), false);
}

Plan
AlmostWholeChunks(Listener aListener)
{
  // Without the last chunk, which only says that the body ends.
  return Sending(WithoutEnd(ChunkedRequest(aListener, LegalBody(aListener), 1'000), 5), false);
}

Plan
OversizedBodies(Listener aListener)
{
  return Sending(RequestWithBody(aListener, std::string(std::size_t(16) << 20, 'x')));
}

Plan
ManyHeaderFields(Listener aListener)
{
  const std::string field = "a:b\r\n";
  return Sending(StartOf(aListener, "GET") + Repeated(field, kHeaderBytes / field.size()) + "\r\n");
}

Plan
LongTargets(Listener aListener)
{
  return Sending(StartOf(aListener,
                         "GET",
                         '?' + Repeated("a&", kTargetBytes / 4) + Repeated("a", kTargetBytes / 2)) +
                 "\r\n");
}

Plan
LongPaths(Listener aListener)
{
  return Sending(StartOf(aListener, "GET", '/' + std::string(kTargetBytes, 'a')) + "\r\n");
}

Plan
LongRanges(Listener aListener)
{
  const std::string item = "0-1,";
  return Sending(StartOf(aListener, "GET") +
                 "Range: bytes=" + Repeated(item, kTargetBytes / item.size()) + "0-1\r\n\r\n");
}

Plan
CompressedAnswers(Listener aListener)
{
  return Sending(StartOf(aListener, "GET") + "Accept-Encoding: br\r\n\r\n");
}

Plan
ManyJsonFields(Listener aListener)
{
  const std::string item = "{},";
  const std::size_t count = BodyLimit(aListener) / item.size() - 1;
  Plan plan = Sending(RequestWithBody(aListener, '[' + Repeated(item, count) + "{}]"));
  plan.mConnections = kJsonCrowd;
  return plan;
}

Plan
DeepJson(Listener aListener)
{
  const std::size_t depth = BodyLimit(aListener) / 2;
  Plan plan =
    Sending(RequestWithBody(aListener, std::string(depth, '[') + std::string(depth, ']')));
  plan.mConnections = kJsonCrowd;
  return plan;
}

Plan
ManyTableFields()
{
  const std::string item = "[],";
  return EditingTables("a=[" + Repeated(item, BodyLimit(Listener::Operators) / item.size() - 100) +
                       "]");
}

Plan
DeepTables()
{
  return EditingTables("a=" + Repeated("[{a=", 10'000));
}

Plan
PipelinedUnread(Listener aListener)
{
  Plan plan = Sending(Repeated(SmallRequest(aListener), kPipelined));
  plan.mReads = false;
  return plan;
}

Plan
SlowSenders(Listener aListener)
{
  Plan plan = WholeBodies(aListener);
  plan.mPiece = 1;
  plan.mPause = 100ms;
  return plan;
}

Plan
SlowReaders(Listener aListener)
{
  Plan plan = Sending(Repeated(SmallRequest(aListener), kPipelined));
  plan.mReadPiece = 1;
  plan.mReadPause = 100ms;
  return plan;
}

Plan
StalledHeaders(Listener aListener)
{
  const std::string start = StartOf(aListener, "POST");
  return Sending(WithoutEnd(start, start.size() / 3), false);
}

Plan
StalledBodies(Listener aListener)
{
  const std::string whole = RequestWithBody(aListener, LegalBody(aListener));
  return Sending(WithoutEnd(whole, BodyLimit(aListener) / 2), false);
}

} // namespace DaemonClients
