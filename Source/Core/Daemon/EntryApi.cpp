#include "Daemon/EntryApi.h"

#include <charconv>

#include "Daemon/Convert.h"
#include "Daemon/Pages.h"

namespace Daemon {

namespace {

// A deadline above this would hold a thread of the entry for too long.
constexpr std::chrono::minutes kLongestDeadline{ 10 };
constexpr std::size_t kOperatorBody = 4 << 20;

std::optional<std::int64_t>
ParseNumber(const std::string& aText)
{
  std::int64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional(value) : std::nullopt;
}

int
StatusOf(Common::Refusal aReason)
{
  switch (aReason) {
    case Common::Refusal::UnknownRoute:
      return 404;
    case Common::Refusal::Invalid:
      return 400;
    case Common::Refusal::Throttled:
      return 429;
    default:
      return 503;
  }
}

Http::Response
Refused(Common::Refusal aReason, const std::string& aText, Common::Duration aRetryAfter = {})
{
  const int status = StatusOf(aReason);
  Http::Response response = status == 503 || status == 429 ? RetryPage(status, aText, aRetryAfter)
                                                           : ErrorPage(status, aText);
  SetOutcome(response, Common::Outcome::NotRun);
  return response;
}

Http::Response
PageOf(CallerAnswer aAnswer)
{
  if (aAnswer.mOutcome == Common::Outcome::NotRun) {
    return Refused(aAnswer.mReason, TextOf(aAnswer.mReason), aAnswer.mRetryAfter);
  }
  Http::Response response;
  if (aAnswer.mOutcome == Common::Outcome::Unknown) {
    response = ErrorPage(504, "it is not known whether the request ran");
  } else if (!aAnswer.mReply || aAnswer.mReply->status == 0) {
    response = ErrorPage(409, "the request ran before, and its answer is no longer kept");
  } else {
    response.mStatus = aAnswer.mReply->status;
    response.mBody = std::move(aAnswer.mReply->body);
    for (auto& header : aAnswer.mReply->headers) {
      // The endpoint cannot speak for the scheduler.
      if (!Http::SameName(header.name, "Ibisshed-Outcome")) {
        response.mHeaders.push_back({ std::move(header.name), std::move(header.value) });
      }
    }
  }
  SetOutcome(response, aAnswer.mOutcome);
  return response;
}

} // namespace

EntryApi::EntryApi(Runtime& aRuntime,
                   EntryDispatch& aDispatch,
                   EntryPools& aPools,
                   PeerBook& aPeers,
                   CellBook& aCells,
                   SpreadService& aSpread)
  : mRuntime(aRuntime)
  , mDispatch(aDispatch)
  , mPools(aPools)
  , mPeers(aPeers)
  , mCells(aCells)
  , mSpread(aSpread)
{
}

const Tables::Route*
EntryApi::match(const TablesInForce& aTables, const Http::Request& aRequest) const
{
  std::vector<Tables::RequestHeader> headers;
  headers.reserve(aRequest.mHeaders.size());
  for (const Http::Header& header : aRequest.mHeaders) {
    headers.push_back({ header.mName, header.mValue });
  }
  const std::string host = Http::FindHeader(aRequest.mHeaders, "Host").value_or("");
  return Tables::MatchRoute(
    aTables.mTables, aTables.mIndex, host, aRequest.mTarget, aRequest.mMethod, headers);
}

std::size_t
EntryApi::bodyLimit(const Http::Request& aRequest) const
{
  if (aRequest.path().starts_with(kApiPrefix)) {
    return kOperatorBody;
  }
  const auto tables = mRuntime.mTables.current();
  const Tables::Route* route = tables ? match(*tables, aRequest) : nullptr;
  return route == nullptr ? 0 : static_cast<std::size_t>(route->mMaxBody.value());
}

Http::BodyKind
BodyKindOf(const Http::Request& aRequest)
{
  if (!aRequest.path().starts_with(kApiPrefix)) {
    return Http::BodyKind::Opaque;
  }
  return aRequest.path() == std::string(kApiPrefix) + "tables" ? Http::BodyKind::JsonWithTables
                                                               : Http::BodyKind::Json;
}

Http::Response
EntryApi::answer(Http::Request&& aRequest)
{
  if (aRequest.path().starts_with(kApiPrefix)) {
    if (auto page = CommonPage(mRuntime, aRequest)) {
      return std::move(*page);
    }
    return answerOperator(aRequest);
  }
  return answerCaller(std::move(aRequest));
}

Http::Response
EntryApi::answerCaller(Http::Request&& aRequest)
{
  CallerRequest request;
  request.mArrived = mRuntime.mClock.now();
  request.mTables = mRuntime.mTables.current();
  if (mRuntime.leaving()) {
    return Refused(Common::Refusal::Leaving, "the entry is leaving");
  }
  if (!request.mTables) {
    return Refused(Common::Refusal::NoTables, "no tables are in force yet");
  }
  request.mRoute = match(*request.mTables, aRequest);
  if (request.mRoute == nullptr) {
    return Refused(Common::Refusal::UnknownRoute, "no route matches");
  }
  if (request.mRoute->mKind != Tables::RouteKind::Request) {
    return Refused(Common::Refusal::Invalid, "the route is for jobs; submit to /ibisshed/v1/jobs");
  }
  request.mClient =
    Common::ClientId(Http::FindHeader(aRequest.mHeaders, "Ibisshed-Client").value_or(""));
  Common::Duration time = request.mRoute->mDeadline;
  if (const auto text = Http::FindHeader(aRequest.mHeaders, "Ibisshed-Deadline-Ms")) {
    const auto millis = ParseNumber(*text);
    if (!millis || *millis <= 0) {
      return Refused(Common::Refusal::Invalid, "Ibisshed-Deadline-Ms is not a positive number");
    }
    time = std::chrono::milliseconds(std::min<std::int64_t>(*millis, 3'600'000));
  }
  request.mDeadline = request.mArrived + std::min<Common::Duration>(time, kLongestDeadline);
  if (const auto key = Http::FindHeader(aRequest.mHeaders, "Idempotency-Key")) {
    request.mKey = Common::IdempotencyKey(*key);
    std::optional<Common::UnixMillis> stated;
    if (const auto text = Http::FindHeader(aRequest.mHeaders, "Ibisshed-Key-Time")) {
      const auto millis = ParseNumber(*text);
      if (!millis) {
        return Refused(Common::Refusal::Invalid, "Ibisshed-Key-Time is not a number");
      }
      stated = Common::UnixMillis(*millis);
    }
    request.mKeyTime = Dispatch::KeyTime(stated, *request.mKey);
    if (request.mKeyTime && !Dispatch::IsKeyTimeInRange(*request.mKeyTime,
                                                        mRuntime.mClock.unixNow(),
                                                        mRuntime.mSettings.mTimes.mKeyRetention)) {
      return Refused(Common::Refusal::Invalid, "the key's time is too old or in the future");
    }
  }
  const auto parent = Observability::ParseTraceParent(
    Http::FindHeader(aRequest.mHeaders, "traceparent").value_or(""));
  auto span = mRuntime.mTracer.start("entry.request", parent);
  span->SetTag("route", request.mRoute->mName.str());
  request.mTrace = Observability::ContextOf(*span);
  request.mHttp = std::move(aRequest);
  const std::string route = request.mRoute->mName.str();
  const Common::Timestamp arrived = request.mArrived;
  CallerAnswer answer = mDispatch.run(std::move(request));
  const auto outcome = std::to_string(static_cast<int>(answer.mOutcome));
  mRuntime.mCounters.counter("requests", "route=\"" + route + "\",outcome=\"" + outcome + '"')
    .add();
  mRuntime.mCounters.distribution("request_us", "route=\"" + route + '"')
    .record((mRuntime.mClock.now() - arrived).count());
  Http::Response page = PageOf(std::move(answer));
  page.mHeaders.push_back(
    { "traceparent", Observability::FormatTraceParent(Observability::ContextOf(*span)) });
  return page;
}

Http::Response
EntryApi::answerOperator(const Http::Request& aRequest)
{
  const std::string path(aRequest.path().substr(std::string_view(kApiPrefix).size()));
  const std::string& method = aRequest.mMethod;
  const auto under = [&](const std::string& aPrefix) -> std::optional<std::string> {
    return path.starts_with(aPrefix) && path.size() > aPrefix.size()
             ? std::optional(Http::PercentDecoded(path.substr(aPrefix.size())))
             : std::nullopt;
  };
  if (method == "GET") {
    if (path == "tables") {
      return showTables();
    }
    if (path == "tables/history") {
      return showHistory();
    }
    if (path == "tables/status") {
      return showStatus();
    }
    if (const auto number = under("tables/revisions/")) {
      return showRevision(*number);
    }
    if (path == "jobs") {
      return listJobs();
    }
    if (const auto job = under("jobs/")) {
      return showJob(*job);
    }
    if (path == "workers") {
      return showWorkers();
    }
    if (path == "endpoints") {
      return showEndpoints();
    }
    if (path == "cells") {
      return showCells();
    }
    if (path == "usage") {
      return showUsage();
    }
    if (const auto trace = under("traces/")) {
      return showTrace(*trace);
    }
  } else if (method == "POST") {
    if (path == "tables") {
      return editTables(aRequest);
    }
    if (path == "jobs") {
      return submitJob(aRequest);
    }
    if (path == "drain") {
      return drain(aRequest);
    }
    if (path == "cells/declare-lost") {
      return declareLost(aRequest);
    }
  } else if (method == "DELETE") {
    if (const auto job = under("jobs/")) {
      return cancelJob(*job);
    }
  }
  return ErrorPage(404, "no such path: " + method + ' ' + path);
}

} // namespace Daemon
