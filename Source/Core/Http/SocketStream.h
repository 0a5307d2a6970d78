#pragma once

#include <chrono>
#include <string>

#include <httplib.h>

/// Internal to the Http library: the byte stream under cpp-httplib.
namespace Http {

struct StreamLimits
{
  /// Time to wait for the next bytes.
  std::chrono::milliseconds mRead{ 5000 };
  std::chrono::milliseconds mWrite{ 5000 };
  /// Time in which the header section must arrive after its first byte.
  std::chrono::milliseconds mHeaders{ 10'000 };
  std::size_t mHeaderBytes = 64 << 10;
};

/// Replaces cpp-httplib's own socket stream, for three reasons. The library percent-decodes header
/// values, which changes what is forwarded and lets "%0d%0a" become a line end, so percent signs of
/// header values are escaped on their way in. Headers that trickle in byte by byte need a bound in
/// all. And a message is written with one system call.
class SocketStream final : public httplib::Stream
{
public:
  SocketStream(socket_t aSocket, StreamLimits aLimits);

  /// Waits until input arrives; false after the timeout or at the end of the stream.
  bool waitForInput(std::chrono::milliseconds aTimeout);
  /// True if the peer has closed or the connection failed.
  bool ended() const { return mEnded; }
  /// The next bytes are a start line and headers.
  void startMessage();
  /// Ends every wait at this time.
  void setDeadline(std::chrono::steady_clock::time_point aDeadline) { mDeadline = aDeadline; }
  /// Writes what is buffered; false if the peer does not take it in time.
  bool flush();

  using httplib::Stream::write;
  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char* aBytes, std::size_t aSize) override;
  ssize_t write(const char* aBytes, std::size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  socket_t socket() const override { return mSocket; }

private:
  bool fill();
  ssize_t readHeaderByte(char* aByte);
  void noteHeaderByte(char aByte);
  bool waitFor(short aEvents, std::chrono::milliseconds aTimeout) const;

  socket_t mSocket;
  StreamLimits mLimits;
  std::chrono::steady_clock::time_point mDeadline = std::chrono::steady_clock::time_point::max();

  std::string mIn;
  std::size_t mInUsed = 0;
  std::string mOut;
  bool mOutFailed = false;
  bool mEnded = false;

  bool mInHeaders = false;
  std::chrono::steady_clock::time_point mHeadersEnd;
  std::size_t mHeaderBytes = 0;
  std::size_t mLineNumber = 0;
  /// The current line up to its colon.
  std::string mLineName;
  bool mNameEnded = false;
  /// What is left of an escape that replaces a percent sign.
  std::string mEscape;
};

} // namespace Http
