#include "Daemon/Pages.h"

#include <fstream>
#include <mutex>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace Daemon {

namespace {

using Json = nlohmann::json;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Resident memory of the process in bytes; 0 if the system does not tell.
std::int64_t
ResidentBytes()
{
  // One file at a time, however many ask for the page.
  static std::mutex sMutex;
  const std::lock_guard<std::mutex> lock(sMutex);
  std::ifstream statm("/proc/self/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  statm >> size >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

} // namespace

std::string
Quoted(const std::string& aText)
{
  return Dump(Json(aText));
}

Http::Response
ErrorPage(int aStatus, const std::string& aText, const Common::Findings& aFindings)
{
  Json page = { { "error", aText }, { "findings", Json::array() } };
  for (const Common::Finding& finding : aFindings.items()) {
    const bool warning = finding.mSeverity == Common::Severity::Warning;
    page["findings"].push_back({ { "file", finding.mPlace.mFile },
                                 { "line", finding.mPlace.mLine },
                                 { "column", finding.mPlace.mColumn },
                                 { "severity", warning ? "warning" : "error" },
                                 { "message", finding.mMessage } });
  }
  return Http::JsonResponse(aStatus, Dump(page));
}

Http::Response
RetryPage(int aStatus, const std::string& aText, Common::Duration aRetryAfter)
{
  Http::Response response = ErrorPage(aStatus, aText);
  SetRetryAfter(response, aRetryAfter);
  return response;
}

void
SetRetryAfter(Http::Response& aResponse, Common::Duration aRetryAfter)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aRetryAfter).count();
  aResponse.mHeaders.push_back(
    { "Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1)) });
}

void
SetOutcome(Http::Response& aResponse, Common::Outcome aOutcome)
{
  const char* text = "unknown";
  if (aOutcome != Common::Outcome::Unknown) {
    text = aOutcome == Common::Outcome::Ran ? "ran" : "not-run";
  }
  aResponse.mHeaders.push_back({ "Ibisshed-Outcome", text });
}

std::vector<std::string>
SpansOf(Runtime& aRuntime, const std::string& aTrace)
{
  std::vector<std::string> spans;
  for (const Observability::SpanRecord& span : aRuntime.mTracer.trace(aTrace)) {
    spans.push_back(Observability::SpanJson(span));
  }
  return spans;
}

Http::Response
SpansPage(const std::vector<std::string>& aSpans)
{
  std::string body = R"({"spans":[)";
  for (const std::string& span : aSpans) {
    body += (body.back() == '[' ? "" : ",") + span;
  }
  return Http::JsonResponse(200, body + "]}");
}

std::optional<Http::Response>
CommonPage(Runtime& aRuntime, const Http::Request& aRequest)
{
  const std::string_view path = aRequest.path();
  if (!path.starts_with(kApiPrefix) || aRequest.mMethod != "GET") {
    return std::nullopt;
  }
  const std::string_view name = path.substr(std::string_view(kApiPrefix).size());
  if (name == "health") {
    return Http::JsonResponse(200, R"({"status":"alive"})");
  }
  if (name == "ready") {
    if (aRuntime.leaving()) {
      return ErrorPage(503, "the instance is leaving");
    }
    return aRuntime.mTables.current() ? Http::JsonResponse(200, R"({"status":"ready"})")
                                      : ErrorPage(503, "no tables are in force yet");
  }
  if (name == "metrics") {
    aRuntime.mCounters.counter("resident_bytes").set(ResidentBytes());
    return Http::Response{ 200, { { "Content-Type", "text/plain" } }, aRuntime.mCounters.text() };
  }
  return std::nullopt;
}

} // namespace Daemon
