#include "Daemon/Peers.h"

#include <algorithm>

namespace Daemon {

namespace {

constexpr std::size_t kMaxPeers = 256;

// Messages that name a changed cell. Each of its hearers does the same, so a change reaches all
// processes like an epidemic; the random cells in other messages reach those that it misses.
constexpr std::uint32_t kTellings = 24;

} // namespace

void
PeerBook::note(PeerInfo aPeer)
{
  if (aPeer.mInstance == mSelf || aPeer.mInstance.empty() || aPeer.mAddress.empty()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto known = mPeers.find(aPeer.mInstance);
  if (known == mPeers.end()) {
    if (mPeers.size() < kMaxPeers) {
      mPeers.emplace(aPeer.mInstance, std::move(aPeer));
    }
    return;
  }
  // What others say of a peer has no revision and may guess its role; the peer's own word stays.
  if (aPeer.mRevision == 0 && known->second.mRevision > 0) {
    known->second.mAddress = aPeer.mAddress;
    return;
  }
  known->second = std::move(aPeer);
}

std::optional<std::string>
PeerBook::address(const std::string& aInstance) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mPeers.find(aInstance);
  return found == mPeers.end() ? std::nullopt : std::optional(found->second.mAddress);
}

std::vector<PeerInfo>
PeerBook::sample(const std::string& aDataCentre, std::size_t aLimit, Common::Random& aRandom) const
{
  std::vector<PeerInfo> chosen;
  const std::lock_guard<std::mutex> lock(mMutex);
  std::size_t seen = 0;
  for (const auto& [name, peer] : mPeers) {
    if (peer.mDataCentre != aDataCentre) {
      continue;
    }
    // Reservoir sampling: each peer is kept with the same chance.
    ++seen;
    if (chosen.size() < aLimit) {
      chosen.push_back(peer);
    } else if (const std::size_t place = aRandom.below(seen); place < aLimit) {
      chosen[place] = peer;
    }
  }
  return chosen;
}

std::vector<PeerInfo>
PeerBook::all() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<PeerInfo> peers;
  peers.reserve(mPeers.size());
  for (const auto& [name, peer] : mPeers) {
    peers.push_back(peer);
  }
  return peers;
}

void
PeerBook::forget(Common::Timestamp aBefore, const std::vector<std::string>& aKept)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::erase_if(mPeers, [&](const auto& aItem) {
    return aItem.second.mHeard < aBefore &&
           std::find(aKept.begin(), aKept.end(), aItem.first) == aKept.end();
  });
}

void
CellBook::note(const Rpc::Generated::CellView& aCell)
{
  if (aCell.cell.empty() || aCell.ownerAddress.empty()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  Known& known = mCells[aCell.cell];
  if (aCell.epoch > known.mView.epoch) {
    known = { aCell, kTellings };
  }
}

std::optional<Rpc::Generated::CellView>
CellBook::find(const std::string& aCell) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto found = mCells.find(aCell);
  return found == mCells.end() ? std::nullopt : std::optional(found->second.mView);
}

std::vector<Rpc::Generated::CellView>
CellBook::all() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Rpc::Generated::CellView> cells;
  cells.reserve(mCells.size());
  for (const auto& [name, cell] : mCells) {
    cells.push_back(cell.mView);
  }
  return cells;
}

std::vector<Rpc::Generated::CellView>
CellBook::news(std::size_t aLimit, Common::Random& aRandom)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::vector<Rpc::Generated::CellView> cells;
  for (auto& [name, known] : mCells) {
    if (known.mToTell > 0 && cells.size() < aLimit) {
      --known.mToTell;
      cells.push_back(known.mView);
    }
  }
  std::size_t left = mCells.size();
  for (const auto& [name, known] : mCells) {
    const std::size_t wanted = aLimit - cells.size();
    if (aRandom.below(left) < wanted) {
      cells.push_back(known.mView);
    }
    --left;
  }
  return cells;
}

} // namespace Daemon
