#include "FakeEntry.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <httplib.h>

#include "Ibisctl/Run.h"

namespace IbisctlTests {

struct FakeEntry::State
{
  mutable std::mutex mMutex;
  std::map<std::string, std::vector<Reply>> mReplies;
  std::vector<Received> mReceived;
  httplib::Server mServer;
  int mPort = 0;
  std::thread mThread;

  Reply next(const httplib::Request& aRequest)
  {
    const std::string prefix = "/ibisshed/v1/";
    const std::string path =
      aRequest.target.starts_with(prefix) ? aRequest.target.substr(prefix.size()) : aRequest.target;
    const std::lock_guard<std::mutex> lock(mMutex);
    Received received{ aRequest.method, path, aRequest.body, {} };
    for (const auto& [name, value] : aRequest.headers) {
      received.mHeaders[name] = value;
    }
    mReceived.push_back(std::move(received));
    const auto found = mReplies.find(aRequest.method + ' ' + path);
    if (found == mReplies.end()) {
      return { 404, R"({"error":"no such thing"})", false };
    }
    Reply reply = found->second.front();
    if (found->second.size() > 1) {
      found->second.erase(found->second.begin());
    }
    return reply;
  }

  void handle(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    const Reply reply = next(aRequest);
    if (reply.mLost) {
      // A body that ends before its length makes the client see a lost answer.
      aResponse.set_content_provider(
        10, "text/plain", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
      return;
    }
    aResponse.status = reply.mStatus;
    aResponse.set_content(reply.mBody, "application/json");
    if (reply.mStatus == 503) {
      aResponse.set_header("Retry-After", "7");
    }
  }
};

FakeEntry::FakeEntry()
  : mState(std::make_unique<State>())
{
  State* state = mState.get();
  const auto handler = [state](const httplib::Request& aRequest, httplib::Response& aResponse) {
    state->handle(aRequest, aResponse);
  };
  state->mServer.Get(".*", handler);
  state->mServer.Post(".*", handler);
  state->mServer.Delete(".*", handler);
  state->mPort = state->mServer.bind_to_any_port("127.0.0.1");
  state->mThread = std::thread([state] { state->mServer.listen_after_bind(); });
  while (!state->mServer.is_running()) {
    std::this_thread::yield();
  }
}

FakeEntry::~FakeEntry()
{
  mState->mServer.stop();
  mState->mThread.join();
}

std::string
FakeEntry::address() const
{
  return "127.0.0.1:" + std::to_string(mState->mPort);
}

void
FakeEntry::reply(const std::string& aRequest, Reply aReply)
{
  replies(aRequest, { std::move(aReply) });
}

void
FakeEntry::replies(const std::string& aRequest, std::vector<Reply> aReplies)
{
  const std::lock_guard<std::mutex> lock(mState->mMutex);
  mState->mReplies[aRequest] = std::move(aReplies);
}

std::vector<Received>
FakeEntry::received() const
{
  const std::lock_guard<std::mutex> lock(mState->mMutex);
  return mState->mReceived;
}

Outcome
RunIbisctl(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream error;
  const int code = Ibisctl::Run(aArguments, out, error);
  return { code, out.str(), error.str() };
}

ScratchDirectory::ScratchDirectory()
{
  std::string pattern = (std::filesystem::temp_directory_path() / "ibisctl-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("mkdtemp");
  }
  mPath = pattern;
}

ScratchDirectory::~ScratchDirectory()
{
  std::error_code error;
  std::filesystem::remove_all(mPath, error);
}

std::string
ScratchDirectory::path(const std::string& aName) const
{
  return mPath + '/' + aName;
}

std::string
ScratchDirectory::write(const std::string& aName, const std::string& aText) const
{
  std::ofstream(path(aName), std::ios::binary) << aText;
  return path(aName);
}

std::string
ScratchDirectory::read(const std::string& aName) const
{
  std::ifstream file(path(aName), std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace IbisctlTests
