#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Spread/Adoption.h"

/// Differences between successive revisions of the table texts.
namespace Spread {

/// The texts of both tables of one revision.
struct TableTexts
{
  std::string mRoutes;
  std::string mPools;

  bool operator==(const TableTexts&) const = default;
};

/// Replaces the bytes of a text between a kept prefix and a kept suffix. An edit of one row costs
/// about the size of that row, whatever the size of the table.
struct TextDelta
{
  std::uint64_t mPrefix = 0;
  std::uint64_t mSuffix = 0;
  std::string mMiddle;
};

struct Delta
{
  Digest mFrom;
  Digest mTo;
  TextDelta mRoutes;
  TextDelta mPools;
};

enum class DeltaError
{
  /// The delta starts from another revision than the given one.
  WrongBase,
  /// Prefix and suffix do not fit the text, or the result does not have the hash of mTo.
  Damaged,
};

/// Hash of both texts, as used in digests.
std::uint64_t
HashTexts(const TableTexts& aTexts);

Delta
MakeDelta(const Digest& aFrom, const TableTexts& aOld, const Digest& aTo, const TableTexts& aNew);

/// The texts after aDelta; the result is checked against the hash of aDelta.mTo.
tl::expected<TableTexts, DeltaError>
ApplyDelta(const Digest& aHeld, const TableTexts& aTexts, const Delta& aDelta);

/// Bytes that the delta takes in a message, without the message's fixed part.
std::size_t
DeltaBytes(const Delta& aDelta);

/// The last deltas of a process, oldest first, bounded in number and bytes.
class DeltaLog
{
public:
  explicit DeltaLog(std::size_t aMaxDeltas = 64, std::size_t aMaxBytes = std::size_t{ 256 } * 1024);

  /// A delta that does not continue the log starts it anew.
  void append(Delta aDelta);

  /// The deltas that lead from aHeld to the newest revision; empty if there is no such chain or if
  /// it is longer than aMaxBytes.
  std::vector<Delta> chainFrom(const Digest& aHeld, std::size_t aMaxBytes) const;

  std::size_t bytes() const { return mBytes; }

private:
  std::vector<Delta> mDeltas;
  std::size_t mMaxDeltas;
  std::size_t mMaxBytes;
  std::size_t mBytes = 0;
};

} // namespace Spread
