#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "Common/Clock.h"

namespace Net {

/// Limits of one server for its clients.
struct HttpLimits
{
  std::uint32_t mHeaderBytes = 16'384;
  std::uint64_t mBodyBytes = 262'144;
  /// The header and the body of a request must each arrive whole within this time.
  Common::Duration mRequestTime{ std::chrono::seconds(10) };
  /// An open connection without a request is closed after this time.
  Common::Duration mIdleTime{ std::chrono::seconds(60) };
  std::size_t mConnections = 3'000;
  /// Requests that are read and not answered yet. Each may need a connection of its own to another
  /// service.
  std::size_t mPending = 3'000;
  /// Fields of a header, trailers included. Parsed fields take many times the memory of their text;
  /// ordinary clients and balancers send a few dozen.
  std::size_t mHeaderFields = 256;
  /// Bytes of a request that must arrive in each second on average, counted from its first byte.
  /// The slowest links of callers carry more than a hundred times as much.
  std::uint64_t mMinReceiveRate = 1'000;
  /// The rate is not asked for before this time, so that a request that arrives whole within it may
  /// arrive at any rate.
  Common::Duration mReceiveGrace{ std::chrono::seconds(3) };
  /// An answer must be read by its client within this time.
  Common::Duration mAnswerTime{ std::chrono::seconds(10) };
  /// Bytes that a complete request takes until it is answered, as a multiple of its body.
  std::uint64_t mHeldFactor = 1;
  /// Size of the receive and of the send buffer that the system keeps for a connection; it chooses
  /// them itself if 0.
  int mKernelBufferBytes = 0;
};

} // namespace Net
