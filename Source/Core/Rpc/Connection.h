#pragma once

#include <memory>
#include <string>

#include <Control.h>
#include <thrift/transport/TSocket.h>

#include "Common/Clock.h"

/// Internal to the Rpc library: one client connection.
namespace Rpc {

/// A socket that knows whether a whole frame was handed to the system. The framed transport writes
/// a frame with one call, and the server acts on a frame only after its last byte.
class FrameSocket final : public apache::thrift::transport::TSocket
{
public:
  using TSocket::TSocket;
  void write(const uint8_t* aBytes, uint32_t aLength) override;

  void startCall() { mFrameWritten = false; }
  bool frameWritten() const { return mFrameWritten; }
  /// True if the idle connection is open and the peer has neither closed it nor sent anything.
  bool usable();

private:
  bool mFrameWritten = false;
};

struct Connection
{
  std::shared_ptr<FrameSocket> mSocket;
  std::unique_ptr<Generated::ControlClient> mClient;
  Common::Timestamp mIdleSince;
};

/// A connection object for "ip:port" that is not yet open; null if the address is malformed.
std::unique_ptr<Connection>
MakeConnection(const std::string& aPeer, Common::Duration aConnectTimeout);

} // namespace Rpc
