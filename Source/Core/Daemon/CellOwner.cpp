#include "Daemon/CellOwner.h"

#include <sstream>

#include "Daemon/Convert.h"
#include "Observability/Log.h"
#include "Store/Settle.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

using Observability::Level;
using Observability::Log;

std::string
RecordKey(const std::string& aCell)
{
  return "cells/" + aCell;
}

// The record outlives its owner, so the lease is held on a key of its own.
std::string
LeaseKey(const std::string& aCell)
{
  return "owners/" + aCell;
}

// Small, so that owners can read those of all cells.
std::string
LeaseValue(const CellRecord& aRecord)
{
  return std::to_string(aRecord.mEpoch) + ' ' + aRecord.mOwnerInstance + ' ' +
         aRecord.mOwnerAddress;
}

std::optional<Wire::CellView>
CellFromLease(const Store::Entry& aEntry)
{
  std::istringstream text(aEntry.mValue);
  Wire::CellView cell;
  cell.cell = aEntry.mKey.substr(LeaseKey("").size());
  return text >> cell.epoch >> cell.ownerInstance >> cell.ownerAddress ? std::optional(cell)
                                                                       : std::nullopt;
}

} // namespace

CellOwner::Duty::~Duty()
{
  // Heartbeats and the job log call each other, so both stop before either is destroyed.
  if (mMembers) {
    mMembers->stop();
  }
  if (mJobs) {
    mJobs->stop();
  }
}

CellOwner::CellOwner(Runtime& aRuntime, SpreadService& aSpread, PeerBook& aPeers, CellBook& aCells)
  : mRuntime(aRuntime)
  , mSpread(aSpread)
  , mPeers(aPeers)
  , mCells(aCells)
  , mCell(aRuntime.dataCentre())
{
  mJoinGate.mRatePerSecond = aRuntime.mSettings.mLimits.mJoinsPerSecond;
}

CellOwner::~CellOwner()
{
  stop();
}

void
CellOwner::start()
{
  mLoop = std::make_unique<Loop>(mRuntime.mClock, [this] { return step(); });
}

void
CellOwner::stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  if (mLoop) {
    mLoop->stop();
  }
  end("the process stops");
}

std::shared_ptr<CellOwner::Duty>
CellOwner::duty() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mDuty;
}

bool
CellOwner::owns() const
{
  return duty() != nullptr;
}

void
CellOwner::noteOwnerHeard()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mOwnerHeard = mRuntime.mClock.now();
}

bool
CellOwner::offered(const std::string& aCell)
{
  if (aCell != mCell || mRuntime.leaving()) {
    return false;
  }
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mOffered = true;
  }
  mLoop->wake();
  return true;
}

Common::Duration
CellOwner::step()
{
  const std::shared_ptr<Duty> current = duty();
  return current ? keep(current) : lookForCell();
}

void
CellOwner::noteRecord(const CellRecord& aRecord)
{
  Wire::CellView view;
  view.cell = mCell;
  view.epoch = aRecord.mEpoch;
  view.ownerAddress = aRecord.mOwnerAddress;
  view.ownerInstance = aRecord.mOwnerInstance;
  mCells.note(view);
}

Common::Duration
CellOwner::lookForCell()
{
  const Common::Duration lease = mRuntime.mSettings.mTimes.mOwnerLease;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    const bool heard =
      mRuntime.mClock.now() - mOwnerHeard < lease && mOwnerHeard != Common::Timestamp();
    if (mStopping || mRuntime.leaving() || (heard && !mOffered)) {
      return std::chrono::seconds(1);
    }
    mOffered = false;
  }
  const auto held = mRuntime.mStore->read(LeaseKey(mCell));
  const auto record = held
                        ? mRuntime.mStore->read(RecordKey(mCell))
                        : Store::Result<std::optional<Store::Entry>>(tl::unexpected(held.error()));
  if (!held || !record) {
    return Membership::BackOff(++mFailures, mRuntime.random());
  }
  mFailures = 0;
  if (*record) {
    if (const auto known = DecodeCellRecord((*record)->mValue)) {
      noteRecord(*known);
    }
  }
  if (!*held) {
    tryTake(*record);
  }
  // Candidates look at different times, so that they do not race for each lapse.
  return std::chrono::milliseconds(500 + static_cast<int>(mRuntime.random().below(1000)));
}

void
CellOwner::tryTake(const std::optional<Store::Entry>& aEntry)
{
  CellRecord before;
  if (aEntry) {
    const auto known = DecodeCellRecord(aEntry->mValue);
    if (!known) {
      Log(Level::Error, "owner", "the cell record cannot be read", { { "cell", mCell } });
      return;
    }
    before = *known;
  }
  CellRecord record = before;
  record.mEpoch = before.mEpoch + 1;
  record.mOwnerInstance = mRuntime.self().str();
  record.mOwnerAddress = mRuntime.mRpcAddress;
  record.mOwnerIncarnation = mRuntime.mIncarnation.value();
  const auto lease = mRuntime.mStore->grantLease(mRuntime.mSettings.mTimes.mOwnerLease);
  if (!lease) {
    return;
  }
  const auto taken =
    mRuntime.mStore->compareAndSwap(LeaseKey(mCell), Store::Version(), LeaseValue(record), *lease);
  if (!taken) {
    // With a lost answer the lease may hold the key; it lapses if it is not renewed.
    static_cast<void>(mRuntime.mStore->revokeLease(*lease));
    return;
  }
  const auto version = Store::SwapSettled(*mRuntime.mStore,
                                          RecordKey(mCell),
                                          aEntry ? aEntry->mVersion : Store::Version(),
                                          EncodeCellRecord(record));
  if (!version || !begin(record, before, *version)) {
    static_cast<void>(mRuntime.mStore->revokeLease(*lease));
    return;
  }
  mLease = *lease;
}

bool
CellOwner::begin(const CellRecord& aRecord, const CellRecord& aBefore, Store::Version aVersion)
{
  auto next = std::make_shared<Duty>();
  Duty* raw = next.get();
  next->mRecord = aRecord;
  next->mVersion = aVersion;
  next->mKeys = std::make_unique<OwnerKeys>(mRuntime, aRecord.mEpoch);
  next->mMembers =
    std::make_unique<OwnerMembers>(mRuntime, aRecord, aBefore, mCell, mSpread, mPeers, mCells);
  next->mJobs = std::make_unique<OwnerJobs>(
    mRuntime,
    mCell,
    aRecord.mEpoch,
    [raw](const std::string& aWorker) { raw->mMembers->kick(aWorker); },
    [raw] { raw->mDeposed = true; });
  const auto opened = next->mJobs->open();
  if (!opened) {
    Log(Level::Warning, "owner", "the job logs cannot be opened", { { "cell", mCell } });
    return false;
  }
  noteRecord(aRecord);
  next->mJobs->start();
  next->mMembers->start(*next->mJobs);
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mDuty = std::move(next);
  }
  mSpread.setRelay(true);
  mRuntime.mCounters.counter("owned_epoch").set(aRecord.mEpoch);
  Log(Level::Info,
      "owner",
      "took the cell",
      { { "cell", mCell }, { "epoch", std::to_string(aRecord.mEpoch) } });
  return true;
}

Common::Duration
CellOwner::keep(const std::shared_ptr<Duty>& aDuty)
{
  if (aDuty->mMembers->highestEpoch() > aDuty->mRecord.mEpoch || aDuty->mDeposed) {
    end("a newer owner exists");
    return Common::Duration::zero();
  }
  renewLease(*aDuty);
  updateRoster(*aDuty);
  aDuty->mKeys->sweep();
  readOwners();
  mRuntime.mControl.prune();
  return aDuty->mRecord.mRoster.size() < 3 ? Common::Duration(std::chrono::milliseconds(300))
                                           : mRuntime.mSettings.mTimes.mHeartbeat;
}

void
CellOwner::readOwners()
{
  constexpr std::chrono::seconds kEvery{ 5 };
  constexpr std::size_t kMostCells = 1000;
  const Common::Timestamp now = mRuntime.mClock.now();
  if (now < mNextOwners) {
    return;
  }
  mNextOwners = now + kEvery;
  const auto owners = mRuntime.mStore->readPrefix(LeaseKey(""), kMostCells);
  if (!owners) {
    return;
  }
  for (const Store::Entry& entry : *owners) {
    if (const auto cell = CellFromLease(entry)) {
      mCells.note(*cell);
    }
  }
}

void
CellOwner::renewLease(Duty& aDuty)
{
  if (mLease) {
    const auto renewed = mRuntime.mStore->renewLease(*mLease);
    if (renewed || renewed.error() != Store::StoreError::LeaseLapsed) {
      // Without the store nobody can take the cell, and the agents' majority stays the fence.
      return;
    }
    mLease.reset();
  }
  const auto lease = mRuntime.mStore->grantLease(mRuntime.mSettings.mTimes.mOwnerLease);
  if (!lease) {
    return;
  }
  const auto taken = mRuntime.mStore->compareAndSwap(
    LeaseKey(mCell), Store::Version(), LeaseValue(aDuty.mRecord), *lease);
  if (taken) {
    mLease = *lease;
    return;
  }
  static_cast<void>(mRuntime.mStore->revokeLease(*lease));
  if (taken.error() == Store::StoreError::Conflict) {
    const auto record = mRuntime.mStore->read(RecordKey(mCell));
    const auto known = record && *record ? DecodeCellRecord((*record)->mValue) : std::nullopt;
    aDuty.mDeposed = aDuty.mDeposed || (known && known->mEpoch > aDuty.mRecord.mEpoch);
  }
}

void
CellOwner::updateRoster(Duty& aDuty)
{
  CellRecord wanted = aDuty.mRecord;
  if (aDuty.mInDoubt) {
    wanted = *aDuty.mInDoubt;
  } else {
    wanted.mRoster = aDuty.mMembers->wantedRoster();
    if (wanted.mRoster == aDuty.mRecord.mRoster) {
      return;
    }
    aDuty.mMembers->proposeRoster(wanted.mRoster);
  }
  const std::string value = EncodeCellRecord(wanted);
  auto version = Store::SwapSettled(*mRuntime.mStore, RecordKey(mCell), aDuty.mVersion, value);
  if (aDuty.mInDoubt && !version && version.error() == Store::StoreError::Conflict) {
    // The write in doubt may be what moved the version.
    const auto seen = mRuntime.mStore->read(RecordKey(mCell));
    if (!seen) {
      return;
    }
    if (*seen && (*seen)->mValue == value) {
      version = (*seen)->mVersion;
    }
  }
  if (version) {
    aDuty.mInDoubt.reset();
    aDuty.mRecord = wanted;
    aDuty.mVersion = *version;
    aDuty.mMembers->settleRoster(true);
    return;
  }
  switch (version.error()) {
    case Store::StoreError::Conflict:
      aDuty.mDeposed = true;
      break;
    case Store::StoreError::Unknown:
      aDuty.mInDoubt = wanted;
      break;
    default:
      // A write that is in doubt from an earlier try stays so.
      if (!aDuty.mInDoubt) {
        aDuty.mMembers->settleRoster(false);
      }
      break;
  }
}

void
CellOwner::end(const std::string& aReason)
{
  std::shared_ptr<Duty> ended;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    ended = std::move(mDuty);
    mDuty.reset();
  }
  if (!ended) {
    return;
  }
  Log(Level::Info, "owner", "the term ends", { { "cell", mCell }, { "reason", aReason } });
  mSpread.setRelay(false);
  if (mLease) {
    static_cast<void>(mRuntime.mStore->revokeLease(*mLease));
    mLease.reset();
  }
}

void
CellOwner::handOver()
{
  std::optional<RosterEntry> successor;
  if (const auto current = duty()) {
    successor = current->mMembers->successor();
  }
  stop();
  if (successor) {
    static_cast<void>(
      mRuntime.mControl.offerCell(successor->mAddress, mCell, std::chrono::milliseconds(500)));
  }
}

} // namespace Daemon
