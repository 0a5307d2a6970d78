#include "Rpc/Connection.h"

#include <charconv>

#include <poll.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "Rpc/ClientPool.h"

namespace Rpc {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TFramedTransport;

void
FrameSocket::write(const uint8_t* aBytes, uint32_t aLength)
{
  TSocket::write(aBytes, aLength);
  mFrameWritten = true;
}

bool
FrameSocket::usable()
{
  if (!isOpen()) {
    return false;
  }
  pollfd poller{ getSocketFD(), POLLIN | POLLRDHUP, 0 };
  return ::poll(&poller, 1, 0) == 0;
}

std::unique_ptr<Connection>
MakeConnection(const std::string& aPeer, Common::Duration aConnectTimeout)
{
  const std::size_t colon = aPeer.rfind(':');
  int port = 0;
  if (colon == std::string::npos) {
    return nullptr;
  }
  const char* end = aPeer.data() + aPeer.size();
  const auto parsed = std::from_chars(aPeer.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end || port < 1 || port > 65535) {
    return nullptr;
  }
  auto config = std::make_shared<TConfiguration>();
  config->setMaxFrameSize(kMaxFrame);
  auto connection = std::make_unique<Connection>();
  connection->mSocket = std::make_shared<FrameSocket>(aPeer.substr(0, colon), port, config);
  connection->mSocket->setConnTimeout(
    static_cast<int>(std::chrono::ceil<std::chrono::milliseconds>(aConnectTimeout).count()));
  // A small first buffer keeps idle connections cheap; it grows with the frame.
  constexpr std::uint32_t kBuffer = 2048;
  constexpr std::uint32_t kKeepBuffer = 64 << 10;
  auto framed =
    std::make_shared<TFramedTransport>(connection->mSocket, kBuffer, kKeepBuffer, config);
  connection->mClient =
    std::make_unique<Generated::ControlClient>(std::make_shared<TBinaryProtocol>(framed));
  return connection;
}

} // namespace Rpc
