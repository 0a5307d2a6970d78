#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <Ibisshed_types.h>

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Common/Units.h"

namespace Daemon {

struct PeerInfo
{
  std::string mInstance;
  std::string mAddress;
  std::string mDataCentre;
  std::string mRole;
  /// Revision that it last named.
  std::int64_t mRevision = 0;
  Common::Timestamp mHeard;
};

/// Other processes that this one has heard of, bounded in number.
class PeerBook
{
public:
  explicit PeerBook(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  void note(PeerInfo aPeer);
  std::optional<std::string> address(const std::string& aInstance) const;
  /// At most aLimit peers of the data centre, chosen at random.
  std::vector<PeerInfo> sample(const std::string& aDataCentre,
                               std::size_t aLimit,
                               Common::Random& aRandom) const;
  std::vector<PeerInfo> all() const;
  /// Forgets peers that were not heard since aBefore; those in aKept stay.
  void forget(Common::Timestamp aBefore, const std::vector<std::string>& aKept);

private:
  std::string mSelf;
  mutable std::mutex mMutex;
  std::map<std::string, PeerInfo> mPeers;
};

/// Who owns which cell, as far as this process has heard; higher epochs replace lower ones.
class CellBook
{
public:
  void note(const Rpc::Generated::CellView& aCell);
  std::optional<Rpc::Generated::CellView> find(const std::string& aCell) const;
  std::vector<Rpc::Generated::CellView> all() const;
  /// Cells to name in one message, at most aLimit: those that changed lately, and random others.
  /// Naming all cells of a region in each message would use up the bytes that a node has for
  /// control.
  std::vector<Rpc::Generated::CellView> news(std::size_t aLimit, Common::Random& aRandom);

private:
  struct Known
  {
    Rpc::Generated::CellView mView;
    /// Messages that are still to name the cell because it changed.
    std::uint32_t mToTell = 0;
  };

  mutable std::mutex mMutex;
  std::map<std::string, Known> mCells;
};

} // namespace Daemon
