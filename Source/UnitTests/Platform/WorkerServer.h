#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Net/HttpServer.h"
#include "UnitTests/Node/FakeWorker.h"
#include "UnitTests/Support/FreeAddress.h"
#include "platform/Json.h"
#include "platform/TaskNames.h"

namespace PlatformTests {

/// Serves a fake worker over the platform's worker protocol. It answers polls at once unless it
/// holds them.
class WorkerServer
{
public:
  WorkerServer(boost::asio::io_context& aIo, NodeTests::FakeWorker& aWorker)
    : mIo(aIo)
    , mWorker(aWorker)
    , mAddress(TestSupport::FreeAddress(aIo))
  {
    listen();
  }

  const std::string& address() const { return mAddress; }
  bool isListening() const { return mListening; }
  int calls() const { return mCalls; }
  /// Polls that grant nothing and ask for an answer at once, as the first call on a connection
  /// does.
  int checks() const { return mChecks; }

  /// Decides whether a call is carried out and answered; if empty, each is.
  std::function<bool()> mAnswers;
  /// A connection on which a call is not answered is closed at once.
  bool mClosesUnanswered = false;
  /// Polls are answered after the time that they allow.
  bool mHoldsPolls = false;

  /// The worker crashes and starts again at its address and under its id.
  void restart(Scheduling::LifetimeStart aStart)
  {
    mServer.reset();
    mWorker.crash();
    mWorker.restart(mWorker.mId, aStart);
    listen();
  }

private:
  void listen()
  {
    mServer = std::make_unique<Net::HttpServer>(
      mIo,
      Net::HttpLimits{},
      [this](const Net::HttpRequest& aRequest, const Net::Responder& aRespond) {
        ++mCalls;
        const auto body = Platform::ParseObject(aRequest.mBody);
        const auto waitMs = body ? Platform::IntegerOr(*body, "wait_ms", 0) : 0;
        mChecks += body && waitMs == 0 && Platform::IntegerOr(*body, "until_ms", 0) == 0 ? 1 : 0;
        if (mAnswers && !mAnswers()) {
          // A responder that is dropped closes the connection.
          if (!mClosesUnanswered) {
            mUnanswered.push_back(aRespond);
          }
          return;
        }
        if (!mHoldsPolls || waitMs == 0) {
          aRespond(answer(aRequest));
          return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(mIo);
        timer->expires_after(std::chrono::milliseconds(waitMs));
        timer->async_wait([this, timer, aRequest, aRespond](boost::system::error_code) {
          aRespond(answer(aRequest));
        });
      });
    mListening = mServer->listen(mAddress).has_value();
  }

  Net::HttpResponse answer(const Net::HttpRequest& aRequest)
  {
    const auto body = Platform::ParseObject(aRequest.mBody);
    if (aRequest.header("ibisshed-expect-instance") != mWorker.mId) {
      return { 421, clockBody().dump(), {} };
    }
    if (!body) {
      return { 400, clockBody().dump(), {} };
    }
    const Common::Epoch term{ Platform::IntegerOr(*body, "fencing_token", 0) };
    if (aRequest.mTarget == "/-/hold") {
      return answerPoll(term, *body);
    }
    const auto task = Platform::ParseTaskName(Platform::StringOr(*body, "task", ""));
    const Scheduling::RunNumber run{ Platform::IntegerOr(*body, "run", 0) };
    if (!task) {
      return { 400, clockBody().dump(), {} };
    }
    if (aRequest.mTarget == "/-/run-start") {
      const Node::WorkerTime leaseEnd{ Platform::IntegerOr(*body, "until_ms", 0) };
      return answerOrder(mWorker.start(
        term, { *task, run, Platform::StringOr(*body, "spec", ""), "", "", leaseEnd }, false));
    }
    return answerOrder(mWorker.stop(term, *task, run));
  }

  Net::HttpResponse answerPoll(Common::Epoch aTerm, const Platform::Json& aBody)
  {
    const auto until = Platform::IntegerOr(aBody, "until_ms", 0);
    const auto result =
      mWorker.poll(aTerm,
                   Scheduling::EndNumber{ Platform::IntegerOr(aBody, "acked", 0) },
                   until > 0 ? std::make_optional(Node::WorkerTime{ until }) : std::nullopt);
    if (!result) {
      return answerOrder(Scheduling::OrderResult::Fenced);
    }
    Platform::Json body = clockBody();
    body["running"] = Platform::Json::array();
    for (const auto& run : result->mRunning) {
      body["running"].push_back({ Platform::FormatTaskName(run.mTask), run.mRun.value(), "", 0 });
    }
    body["finished"] = Platform::Json::array();
    for (const auto& end : result->mEnded) {
      body["finished"].push_back(
        { end.mNumber.value(), Platform::FormatTaskName(end.mTask), end.mRun.value(), "done", "" });
    }
    return { 200, body.dump(), {} };
  }

  Net::HttpResponse answerOrder(Scheduling::OrderResult aResult) const
  {
    using Scheduling::OrderResult;
    Platform::Json body = clockBody();
    if (aResult == OrderResult::Done) {
      return { 200, body.dump(), {} };
    }
    body["reason"] = aResult == OrderResult::Fenced         ? "fence"
                     : aResult == OrderResult::LeaseExpired ? "late"
                                                            : "old";
    return { 409, body.dump(), {} };
  }

  /// "born" identifies the lifetime that answers.
  Platform::Json clockBody() const
  {
    return { { "clock_ms", mWorker.clock().value() }, { "born", mWorker.mLifetimeStart.value() } };
  }

  boost::asio::io_context& mIo;
  NodeTests::FakeWorker& mWorker;
  std::string mAddress;
  std::unique_ptr<Net::HttpServer> mServer;
  bool mListening = false;
  std::vector<Net::Responder> mUnanswered;
  int mCalls = 0;
  int mChecks = 0;
};

} // namespace PlatformTests
