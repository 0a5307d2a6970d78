#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace IbisctlTests {

struct Received
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
};

struct Reply
{
  int mStatus = 200;
  std::string mBody;
  /// Closes the connection without an answer.
  bool mLost = false;
};

/// An HTTP server on loopback that plays the entry.
class FakeEntry
{
public:
  FakeEntry();
  ~FakeEntry();

  /// "127.0.0.1:port".
  std::string address() const;
  /// Sets the reply to a method and path, "GET tables"; all others are 404.
  void reply(const std::string& aRequest, Reply aReply);
  /// Replies in turn, the last one for ever.
  void replies(const std::string& aRequest, std::vector<Reply> aReplies);
  std::vector<Received> received() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// What a run of ibisctl printed.
struct Outcome
{
  int mCode = 0;
  std::string mOut;
  std::string mError;
};

Outcome
RunIbisctl(const std::vector<std::string>& aArguments);

/// A directory that is removed at the end.
class ScratchDirectory
{
public:
  ScratchDirectory();
  ~ScratchDirectory();
  ScratchDirectory(const ScratchDirectory&) = delete;
  ScratchDirectory& operator=(const ScratchDirectory&) = delete;

  std::string path(const std::string& aName) const;
  std::string write(const std::string& aName, const std::string& aText) const;
  std::string read(const std::string& aName) const;

private:
  std::string mPath;
};

} // namespace IbisctlTests
