#include "Scheduling/Task.h"

#include <bit>
#include <utility>

namespace Scheduling {

namespace {

constexpr std::uint32_t kBits = 64;

const Task&
DoneTask()
{
  static const Task kDone = [] {
    Task done;
    done.mPhase = TaskPhase::Done;
    return done;
  }();
  return kDone;
}

std::uint64_t
BitOf(std::uint32_t aIndex)
{
  return std::uint64_t{ 1 } << (aIndex % kBits);
}

} // namespace

TaskTable::TaskTable(std::uint32_t aSize, std::shared_ptr<const Task> aNew)
  : mSize(aSize)
  , mNew(std::move(aNew))
{
}

bool
TaskTable::isBusyOrDone(std::uint32_t aIndex) const
{
  return mFinished || (!mBusyOrDone.empty() && (mBusyOrDone[aIndex / kBits] & BitOf(aIndex)) != 0);
}

const Task&
TaskTable::at(std::uint32_t aIndex) const
{
  if (const auto own = mOwn.find(aIndex); own != mOwn.end()) {
    return own->second;
  }
  return isBusyOrDone(aIndex) ? DoneTask() : *mNew;
}

Task&
TaskTable::operator[](std::uint32_t aIndex)
{
  const auto own = mOwn.find(aIndex);
  return own != mOwn.end() ? own->second : mOwn.emplace(aIndex, at(aIndex)).first->second;
}

std::uint32_t
TaskTable::nextWaiting(std::uint32_t aFrom) const
{
  if (mFinished || mBusyOrDone.empty()) {
    return mFinished ? mSize : aFrom;
  }
  std::uint32_t index = aFrom;
  while (index < mSize) {
    const std::uint64_t waiting = ~mBusyOrDone[index / kBits] >> (index % kBits);
    if (waiting != 0) {
      index += static_cast<std::uint32_t>(std::countr_zero(waiting));
      break;
    }
    index += kBits - index % kBits;
  }
  return index < mSize ? index : mSize;
}

void
TaskTable::setPhase(std::uint32_t aIndex, TaskPhase aPhase)
{
  if (aPhase != TaskPhase::Waiting && mBusyOrDone.empty() && !mFinished) {
    mBusyOrDone.resize((mSize + kBits - 1) / kBits);
  }
  if (!mBusyOrDone.empty()) {
    std::uint64_t& word = mBusyOrDone[aIndex / kBits];
    word = aPhase == TaskPhase::Waiting ? word & ~BitOf(aIndex) : word | BitOf(aIndex);
  }
  if (aPhase != TaskPhase::Done) {
    (*this)[aIndex].mPhase = aPhase;
    return;
  }
  const auto own = mOwn.find(aIndex);
  if (own == mOwn.end()) {
    return;
  }
  const Timestamp stopOrdered = own->second.mStopOrdered;
  if (stopOrdered == Timestamp{}) {
    mOwn.erase(own);
    return;
  }
  own->second = DoneTask();
  own->second.mStopOrdered = stopOrdered;
}

void
TaskTable::dropIfNew(std::uint32_t aIndex)
{
  const auto own = mOwn.find(aIndex);
  if (own == mOwn.end()) {
    return;
  }
  const Task& task = own->second;
  if (task.mPhase == TaskPhase::Waiting && task.mRun.value() == 0 && task.mFailedRuns.empty() &&
      task.mCheckpoint.empty() && task.mCrashes.empty() && task.mClearedRun.value() == 0 &&
      task.mCrashChange == 0 && task.mAvoidedWorker == kNoWorker &&
      task.mStopOrdered == Timestamp{} && !task.mIsHarmless) {
    mOwn.erase(own);
  }
}

void
TaskTable::finish()
{
  mFinished = true;
  mBusyOrDone = {};
  std::erase_if(mOwn, [](const auto& aEntry) { return aEntry.second.mPhase != TaskPhase::Done; });
}

} // namespace Scheduling
