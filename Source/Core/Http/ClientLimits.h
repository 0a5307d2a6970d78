#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Http {

/// Why a request was refused or a connection was closed by the server.
enum class Cause : std::uint8_t
{
  /// The bytes of the process were used up, and this request was received slowest.
  Budget,
  /// There was no place for another connection.
  Connections,
  /// Closed without a request in progress, for a new connection.
  Idle,
  HeaderFields,
  /// The body has too many values or levels.
  BodyShape,
  /// The request alone would take more than the budget.
  TooLarge,
  /// The request arrived below the minimum rate.
  SlowRequest,
  /// The client did not read its answer.
  UnreadAnswer,
};

constexpr std::size_t kCauses = 8;

/// The name in counters and log lines.
std::string_view
NameOf(Cause aCause);

/// What clients may take of the process.
struct ClientLimits
{
  /// Memory of received and parsed requests, connections and unread answers, in bytes.
  std::size_t mBudget = std::size_t(256) << 20;
  std::size_t mConnections = 512;
  std::size_t mHeaderFields = 256;
  std::size_t mBodyValues = 300'000;
  std::size_t mBodyDepth = 64;
  /// Bytes a second below which a request, once begun, or the reading of an answer is too slow;
  /// the read timeout comes on top.
  std::size_t mMinRate = std::size_t(16) << 10;
};

/// Memory that a connection takes without a request: the used part of its thread's stack (about 40
/// KiB), the stream's buffers, and what the system keeps for the socket.
constexpr std::size_t kConnectionCost = std::size_t(96) << 10;
/// The largest share of the budget that connections without requests may take is 3 in 4.
constexpr std::size_t
MostConnections(std::size_t aBudget)
{
  return aBudget / 4 * 3 / kConnectionCost;
}
/// Copies of a body that exist at one time: as received (up to twice its size, since its buffer
/// grows by doubling), parsed or forwarded, and in the frame of the call to another process (again
/// up to twice).
constexpr std::size_t kBodyCopies = 6;
/// A header field or query parameter is a node of the library's map and is copied for matching and
/// forwarding.
constexpr std::size_t kFieldCost = 512;
/// A value of a JSON body: its node, its key, and the unused part of the container's buffer.
constexpr std::size_t kJsonValueCost = 128;
/// A value of the tables, which keeps its place in the text.
constexpr std::size_t kTableValueCost = 224;
/// The answer and its copy in the stream's buffer.
constexpr std::size_t kAnswerCopies = 2;

} // namespace Http
