#pragma once

#include <chrono>
#include <string>

#include <httplib.h>

#include "Http/ConnectionBook.h"

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
  /// Bytes a second below which a message arrives, or is taken by the peer, too slowly: beyond
  /// mRead or mWrite a message has the time that its bytes take at this rate. 0 sets no bound.
  std::size_t mMinRate = 0;
  /// Time in which a whole message must arrive.
  std::chrono::milliseconds mMessage{ 3'600'000 };
};

/// Replaces cpp-httplib's own socket stream, for four reasons. The library percent-decodes header
/// values, which changes what is forwarded and lets "%0d%0a" become a line end, so percent signs of
/// header values are escaped on their way in, and headers that the library would act on are
/// renamed: it matches Range by recursion and cuts answers by it, and compresses and decompresses
/// by the two encodings, with up to 30 MB for each. Headers that trickle in byte by byte need a
/// bound in all. And a message is written with one system call.
class SocketStream final : public httplib::Stream
{
public:
  /// aClient counts what a server receives; null for a client. It must outlive the stream.
  SocketStream(socket_t aSocket, StreamLimits aLimits, ClientConnection* aClient = nullptr);

  /// Waits until input arrives; false after the timeout or at the end of the stream.
  bool waitForInput(std::chrono::milliseconds aTimeout);
  /// True if the peer has closed or the connection failed.
  bool ended() const { return mEnded; }
  /// The next bytes are a start line and headers.
  void startMessage();
  /// Bytes that have arrived and are not read yet.
  std::size_t buffered() const { return mIn.size() - mInUsed; }
  /// The message has arrived whole; waits are no longer bounded by its rate.
  void endMessage();
  /// Replaces what was written and not sent yet.
  void replaceOutput(const std::string& aBytes) { mOut = aBytes; }
  /// Ends every wait at this time.
  void setDeadline(std::chrono::steady_clock::time_point aDeadline) { mDeadline = aDeadline; }
  /// Writes what is buffered; false if the peer does not take it in time.
  bool flush();

  /// Ends the output and drops input that still arrives, for at most aTimeout. Closing a socket
  /// with unread input may take the answer away from the peer.
  void drain(std::chrono::milliseconds aTimeout);

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
  bool noteLineByte(char aByte);
  bool reserveHeader();
  bool send(const char* aBytes, std::size_t aSize);
  bool waitFor(short aEvents, std::chrono::steady_clock::time_point aEnd) const;
  bool waitFor(short aEvents, std::chrono::milliseconds aTimeout) const;
  std::chrono::milliseconds timeOf(std::size_t aBytes) const;
  std::chrono::steady_clock::time_point messageEnd() const;

  socket_t mSocket;
  StreamLimits mLimits;
  ClientConnection* mClient;
  std::chrono::steady_clock::time_point mDeadline = std::chrono::steady_clock::time_point::max();

  std::string mIn;
  std::size_t mInUsed = 0;
  std::string mOut;
  bool mOutFailed = false;
  bool mEnded = false;

  bool mInMessage = false;
  std::chrono::steady_clock::time_point mMessageBegan;
  std::size_t mMessageBytes = 0;
  /// Length of the current line that the library reads byte by byte in a body.
  std::size_t mLineBytes = 0;

  bool mInHeaders = false;
  std::chrono::steady_clock::time_point mHeadersEnd;
  std::size_t mHeaderBytes = 0;
  std::size_t mLineNumber = 0;
  std::size_t mParameters = 0;
  /// Header bytes and fields for which the client has reserved memory.
  std::size_t mPaidBytes = 0;
  std::size_t mPaidFields = 0;
  /// The current line up to its colon.
  std::string mLineName;
  bool mNameEnded = false;
  /// What is left of an escape that replaces a percent sign.
  std::string mEscape;
};

/// The name of a header as it was sent to a server.
std::string
SentName(const std::string& aName);

} // namespace Http
